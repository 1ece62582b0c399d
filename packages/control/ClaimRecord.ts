import type { Claimant } from "@clementinemux/messages/Claimant";
import type { RecordedAnswer } from "@clementinemux/messages/RecordedAnswer";
import type { ClaimRecordState } from "./ClaimRecordState";

/** What is known about one key of a team. */
export interface ClaimRecord {
  readonly bodyDigest: string;
  readonly claimant: Claimant;
  readonly requestId: string;
  /** 0 when the key has had a cancellation but no claim yet. */
  readonly attempt: number;
  readonly state: ClaimRecordState;
  readonly answer: RecordedAnswer | null;
  /** Requests that have given this key up, by `getRequestName`; the newest last. */
  readonly cancelled: readonly string[];
  /** Time of the last change; the retention counts from it. */
  readonly changedAtMs: number;
}
