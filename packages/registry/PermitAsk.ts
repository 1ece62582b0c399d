import type { TargetIncarnation } from "./TargetIncarnation";

/** A request that needs a permit for one of several limited targets. */
export interface PermitAsk {
  readonly targets: readonly TargetIncarnation[];
  /** Longest time that the request may wait for its permit, in ms. */
  readonly maxWaitMs: number;
}
