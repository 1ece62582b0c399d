import type { GroupShape } from "@clementinemux/experts/GroupShape";
import type { PlanWeights } from "@clementinemux/experts/planner/PlanWeights";
import type { DemandSettings } from "@clementinemux/standins/group/DemandSettings";

/** One day of a rank group. */
export interface ExpertsScenario {
  readonly name: string;
  readonly shape: GroupShape;
  readonly weights: PlanWeights;
  readonly demand: Omit<DemandSettings, "seed">;
  /** Hours of the day without moves of weights, each as [first, end). */
  readonly busyHours: readonly (readonly [number, number])[];
  /** Token assignments to experts per step and layer, over all ranks. */
  readonly tokensPerStep: number;
  readonly storeBytesPerS: number;
  /** Rank that is slow in itself, from noon on; null for none. */
  readonly slowRank: { readonly rank: number; readonly speed: number } | null;
}
