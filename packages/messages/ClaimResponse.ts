import type { ClaimState } from "./ClaimState";
import type { RecordedResponse } from "./RecordedResponse";

/** Response to `claim` and `lookupClaim`. */
export interface ClaimResponse {
  readonly state: ClaimState;
  /** Increases with each claim that follows a committed cancellation. */
  readonly attempt: number;
  readonly answer: RecordedResponse | null;
}
