import type { HeldRank } from "@clementinemux/experts/hold/HeldRank";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import type { InspectionPart } from "./InspectionPart";
import type { RankInspection } from "./RankInspection";
import type { RankPlace } from "./RankPlace";

/** Way to one rank. All calls resolve with null when there was no answer. */
export interface RankWay {
  readonly place: RankPlace;
  /** State of the rank and the part that is asked for, read by the process beside it. */
  inspect(fence: number, part: InspectionPart): Promise<RankInspection | null>;
  /** State of the rank by its own word, for groups that stand still. */
  inspectDirectly(): Promise<HeldRank | null>;
  /** Resolves with whether the rank has confirmed the order. */
  order(fence: number, order: HoldOrder): Promise<boolean | null>;
}
