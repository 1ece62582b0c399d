import type { HeldRank } from "@clementinemux/experts/hold/HeldRank";
import type { RankPlace } from "./RankPlace";

/** Order of a lead to bring a map into force that all ranks of a group have prepared. */
export interface ActivateRequest {
  /** Lowest of the fencing numbers that the lead has set aside for these orders. */
  readonly fence: number;
  readonly version: number;
  readonly epoch: number;
  /** Passes from the last one that was begun to the one that is held. */
  readonly leadSteps: number;
  /** All ranks of the group, by rank. */
  readonly places: readonly RankPlace[];
  /** Ranks whose neighbour has not answered the lead; missing from leads of the release before. */
  readonly silentRanks?: readonly number[];
  /** What the ranks reported last, by rank. */
  readonly states: readonly HeldRank[];
}
