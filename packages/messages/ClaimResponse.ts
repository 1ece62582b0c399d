import type { ClaimState } from "./ClaimState";
import type { RecordedAnswer } from "./RecordedAnswer";

/** Answer to `claim` and `lookupClaim`. */
export interface ClaimResponse {
  readonly state: ClaimState;
  /** Rises with each claim that follows a committed cancellation. */
  readonly attempt: number;
  readonly answer: RecordedAnswer | null;
}
