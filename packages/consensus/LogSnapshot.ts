import type { Membership } from "./Membership";

/** State that replaces all entries up to `index`. */
export interface LogSnapshot {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
  readonly data: Uint8Array;
}
