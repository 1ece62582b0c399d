import type { HeldRank } from "@clementinemux/experts/hold/HeldRank";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import type { RankFence } from "@clementinemux/experts/hold/RankFence";
import type { InspectionPart } from "./InspectionPart";
import type { RankInspection } from "./RankInspection";
import type { RankPlace } from "./RankPlace";

/** Way to one rank. All calls resolve with null when there was no answer. */
export interface RankWay {
  readonly place: RankPlace;
  /** State of the rank and the part that is asked for, read by the process beside it. */
  inspect(term: number, part: InspectionPart): Promise<RankInspection | null>;
  /** State of the rank by its own word, for groups that stand still. */
  inspectDirectly(): Promise<HeldRank | null>;
  /** Experts of the rank by layer set under the map in force, by its own word; null if that map has another version. */
  readExpertsDirectly(version: number): Promise<readonly (readonly number[])[] | null>;
  /** Digest of the experts that the rank has prepared under a version, by its own word. */
  readPreparedDirectly(version: number): Promise<number | null>;
  /** Resolves with whether the rank has accepted the order. Raises the fence between two ways that it tries. */
  order(fence: RankFence, order: HoldOrder): Promise<boolean | null>;
}
