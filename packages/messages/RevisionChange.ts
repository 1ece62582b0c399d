import type { ConfigChange } from "@clementinemux/fleet/ConfigChange";

/** One accepted change and the revision that it created. */
export interface RevisionChange {
  readonly revision: number;
  readonly change: ConfigChange;
}
