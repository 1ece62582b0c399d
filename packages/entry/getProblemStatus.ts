import { RefusalReason } from "@clementinemux/common/RefusalReason";

const statusByReason: Readonly<Record<RefusalReason, number>> = {
  [RefusalReason.BadRequest]: 400,
  [RefusalReason.BodyTooLarge]: 413,
  [RefusalReason.CallerUnknown]: 401,
  [RefusalReason.ModelUnknown]: 404,
  [RefusalReason.ServiceUnknown]: 404,
  [RefusalReason.ControlLost]: 503,
  [RefusalReason.EntryLeaving]: 503,
  [RefusalReason.EntryOverloaded]: 503,
  [RefusalReason.TeamRequestLimit]: 429,
  [RefusalReason.TeamTokenLimit]: 429,
  [RefusalReason.DeadlineUnreachable]: 503,
  [RefusalReason.DeadlinePassed]: 504,
  [RefusalReason.QueueFull]: 503,
  [RefusalReason.Preempted]: 503,
  [RefusalReason.SuspectRequest]: 503,
  [RefusalReason.NoTarget]: 503,
  [RefusalReason.TargetsFailed]: 502,
  [RefusalReason.RetryBudgetSpent]: 502,
  [RefusalReason.ClaimUnavailable]: 503,
  [RefusalReason.ClaimInProgress]: 409,
  [RefusalReason.ClaimOutcomeUnknown]: 409,
  [RefusalReason.KeyReused]: 422,
  [RefusalReason.KeyExpired]: 409,
  [RefusalReason.StreamNotResumable]: 502,
  [RefusalReason.CallerGone]: 499,
  [RefusalReason.ShutdownDeadline]: 503,
};

/** Returns the HTTP status of the response to a rejected request. */
export function getProblemStatus(reason: RefusalReason): number {
  return statusByReason[reason];
}
