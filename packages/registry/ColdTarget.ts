import type { TargetIncarnation } from "./TargetIncarnation";

/** What a heartbeat has stated about the time for which its target stays cold. */
export interface ColdTarget extends TargetIncarnation {
  /** Sequence of the heartbeat. */
  readonly sequence: number;
  /** Time for which the target stays cold, in ms; 0 when it is warm. */
  readonly leftMs: number;
}
