import type { ConfigChange } from "@clementinemux/fleet/ConfigChange";

/** Body of `propose`, and of the operator API: a change of the configuration. */
export interface ProposeRequest {
  readonly author: string;
  /** Bound to the author and the content; a retry with the same id gets the first response. */
  readonly requestId: string;
  readonly baseRevision: number;
  readonly change: ConfigChange;
}
