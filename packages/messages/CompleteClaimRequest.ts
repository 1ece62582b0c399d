import type { Claimant } from "./Claimant";
import type { RecordedResponse } from "./RecordedResponse";

/** Body of `completeClaim`. A null `answer` records that the outcome is unknown. */
export interface CompleteClaimRequest {
  readonly team: string;
  readonly key: string;
  readonly claimant: Claimant;
  readonly requestId: string;
  readonly attempt: number;
  readonly answer: RecordedResponse | null;
}
