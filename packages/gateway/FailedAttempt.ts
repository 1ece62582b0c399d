import type { Attempt } from "./Attempt";
import type { AttemptWatch } from "./AttemptWatch";
import type { CallFailure } from "./CallFailure";

/** An attempt that has failed without a response that could be delivered. */
export interface FailedAttempt {
  readonly attempt: Attempt;
  readonly watch: AttemptWatch;
  readonly failure: CallFailure;
  /** Whether any byte may have reached the target. */
  readonly isSent: boolean;
  readonly detail: string;
}
