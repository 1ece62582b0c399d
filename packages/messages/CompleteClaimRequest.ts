import type { Claimant } from "./Claimant";
import type { RecordedAnswer } from "./RecordedAnswer";

/** Body of `completeClaim`. A null `answer` records that the outcome is unknown. */
export interface CompleteClaimRequest {
  readonly team: string;
  readonly key: string;
  readonly claimant: Claimant;
  readonly requestId: string;
  readonly attempt: number;
  readonly answer: RecordedAnswer | null;
}
