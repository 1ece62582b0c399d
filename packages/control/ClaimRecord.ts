import type { Claimant } from "@clementinemux/messages/Claimant";
import type { RecordedResponse } from "@clementinemux/messages/RecordedResponse";
import type { ClaimRecordState } from "./ClaimRecordState";

/** State of one key of a team. */
export interface ClaimRecord {
  readonly bodyDigest: string;
  readonly claimant: Claimant;
  readonly requestId: string;
  /** 0 when the key has been cancelled but not claimed yet. */
  readonly attempt: number;
  readonly state: ClaimRecordState;
  readonly answer: RecordedResponse | null;
  /** Requests that have cancelled their claim of this key, by `getRequestName`; the newest last. */
  readonly cancelled: readonly string[];
  /** Time of the last change, from which the retention counts. */
  readonly changedAtMs: number;
}
