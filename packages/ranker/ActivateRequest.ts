import type { RankHoldState } from "@clementinemux/experts/hold/RankHoldState";
import type { RankEndpoints } from "./RankEndpoints";

/** Request of a leader to activate a map that all ranks of a group have prepared. */
export interface ActivateRequest {
  /** Lowest of the fencing numbers that the leader has reserved for these orders. */
  readonly fence: number;
  readonly version: number;
  readonly epoch: number;
  /** Forward passes between the last one that has started and the step barrier at which the group pauses. */
  readonly leadSteps: number;
  /** All ranks of the group, by rank. */
  readonly places: readonly RankEndpoints[];
  /** Ranks whose ranker did not respond to the leader. Leaders of the previous release omit this field. */
  readonly silentRanks?: readonly number[];
  /** Last reported state of each rank, by rank. */
  readonly states: readonly RankHoldState[];
}
