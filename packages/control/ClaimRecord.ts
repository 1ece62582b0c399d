import type { Claimant } from "@clementinemux/messages/Claimant";
import type { RecordedAnswer } from "@clementinemux/messages/RecordedAnswer";
import type { ClaimRecordState } from "./ClaimRecordState";

/** What is known about one key of a team. */
export interface ClaimRecord {
  readonly bodyDigest: string;
  readonly claimant: Claimant;
  readonly requestId: string;
  readonly attempt: number;
  readonly state: ClaimRecordState;
  readonly answer: RecordedAnswer | null;
  /** Time of the last change; the retention counts from it. */
  readonly changedAtMs: number;
}
