import type { Membership } from "./Membership";

/**
 * Entry of the replicated log. An entry with neither data nor membership is a no-op that starts a new term.
 */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly data: Uint8Array | null;
  readonly membership: Membership | null;
}
