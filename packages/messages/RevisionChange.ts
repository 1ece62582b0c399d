import type { ConfigChange } from "@clementinemux/fleet/ConfigChange";

/** One accepted change and the revision that it made. */
export interface RevisionChange {
  readonly revision: number;
  readonly change: ConfigChange;
}
