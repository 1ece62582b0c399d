import type { Membership } from "./Membership";

/** One entry of the replicated log. An entry without data and membership only marks a new term. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly data: Uint8Array | null;
  readonly membership: Membership | null;
}
