import type { LeaderPhase } from "@clementinemux/experts/activation/LeaderPhase";
import type { PlanSummary } from "./PlanSummary";

/** State of a rank group as reported by its leader. */
export interface LeaderReport {
  /** Null until the leader has read the active map from a rank. */
  readonly phase: LeaderPhase | null;
  readonly mapVersion: number | null;
  /** Tokens per second over all layers, by rank. */
  readonly rankLoads: readonly number[];
  readonly skew: number;
  readonly lastPlan: PlanSummary | null;
  /** Ranks detected as stragglers: slow for reasons other than their load. */
  readonly slowRanks: readonly number[];
  readonly suggestDrain: boolean;
  /** Number of dropped load reports by reason. */
  readonly droppedReports: Readonly<Record<string, number>>;
  /** Number of rejected orders by reason. */
  readonly refusedOrders: Readonly<Record<string, number>>;
}
