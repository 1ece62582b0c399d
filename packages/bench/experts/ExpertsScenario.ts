import type { GroupShape } from "@clementinemux/experts/GroupShape";
import type { PlanWeights } from "@clementinemux/experts/planner/PlanWeights";
import type { DemandSettings } from "@clementinemux/standins/group/DemandSettings";

/** Load and hardware of a rank group over one day. */
export interface ExpertsScenario {
  readonly name: string;
  readonly shape: GroupShape;
  readonly weights: PlanWeights;
  readonly demand: Omit<DemandSettings, "seed">;
  /** Hours of the day in which no weights are moved, each as [first, end). */
  readonly busyHours: readonly (readonly [number, number])[];
  /** Token assignments to experts per step and layer, over all ranks. */
  readonly tokensPerStep: number;
  readonly storeBytesPerS: number;
  /** Rank whose own speed drops at noon; null for none. */
  readonly slowRank: { readonly rank: number; readonly speed: number } | null;
}
