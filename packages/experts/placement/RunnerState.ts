import type { TargetRole } from "@clementinemux/common/TargetRole";

/** State of a model runner that placement depends on. */
export interface RunnerState {
  readonly target: string;
  readonly failureDomain: string;
  readonly capacityBytes: number;
  /** Names of the items (model, adapter or version) that it has loaded. */
  readonly items: readonly string[];
  readonly role: TargetRole;
  /** Whether the runner is draining or suspect: it gets no new items and its copies do not count. */
  readonly isLeaving: boolean;
}
