import { AttemptOutcome } from "./AttemptOutcome";
import { AttemptRetryReason } from "./AttemptRetryReason";

/** Why a request is sent again after an attempt with this outcome. */
export const retryReasons: Readonly<Record<AttemptOutcome, AttemptRetryReason>> = {
  [AttemptOutcome.NotSent]: AttemptRetryReason.NotConnected,
  [AttemptOutcome.NotRun]: AttemptRetryReason.NotRun,
  [AttemptOutcome.Failed]: AttemptRetryReason.TargetFailure,
  [AttemptOutcome.Unknown]: AttemptRetryReason.Broken,
};
