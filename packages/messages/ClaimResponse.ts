import type { ClaimState } from "./ClaimState";
import type { RecordedAnswer } from "./RecordedAnswer";

/** Response to `claim` and `lookupClaim`. */
export interface ClaimResponse {
  readonly state: ClaimState;
  /** Increases with each claim that follows a committed cancellation. */
  readonly attempt: number;
  readonly answer: RecordedAnswer | null;
}
