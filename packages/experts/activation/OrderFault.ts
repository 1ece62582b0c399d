/** Why a rank rejected an order. Each reason has a counter. */
export enum OrderFault {
  OldEpoch = "old_epoch",
  OtherIncarnation = "other_incarnation",
  StampTooOld = "stamp_too_old",
  NotJoined = "not_joined",
  AlreadyJoined = "already_joined",
  AlreadyArmed = "already_armed",
  VersionPassed = "version_passed",
  NotPrepared = "not_prepared",
  StepStarted = "step_started",
  NotArmed = "not_armed",
  MapInvalid = "map_invalid",
}
