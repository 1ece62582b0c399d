/** Why an agent refused a stamp. */
export enum StampRefusal {
  Missing = "stamp_missing",
  OtherIncarnation = "stamp_of_other_incarnation",
  TooOld = "stamp_too_old",
}
