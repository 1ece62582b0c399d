import type { TargetRole } from "@clementinemux/common/TargetRole";

/** A model runner as placement sees it. */
export interface RunnerState {
  readonly target: string;
  readonly failureDomain: string;
  readonly capacityBytes: number;
  /** Names of the items (model, adapter or version) that it holds. */
  readonly items: readonly string[];
  readonly role: TargetRole;
  /** Whether it is drained or suspect: it gets nothing new and does not count as a copy. */
  readonly isLeaving: boolean;
}
