import type { Membership } from "./Membership";

/** Snapshot of the state machine, which replaces all entries up to `index`. */
export interface LogSnapshot {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
  readonly data: Uint8Array;
}
