import type { LeaderPhase } from "@clementinemux/experts/activation/LeaderPhase";
import type { PlanSummary } from "./PlanSummary";

/** What a group lead reports about its group. */
export interface LeadReport {
  /** Null until the lead has read the map in force from a rank. */
  readonly phase: LeaderPhase | null;
  readonly mapVersion: number | null;
  /** Tokens per second over all layers, by rank. */
  readonly rankLoads: readonly number[];
  readonly skew: number;
  readonly lastPlan: PlanSummary | null;
  /** Ranks judged slow in themselves. */
  readonly slowRanks: readonly number[];
  readonly suggestDrain: boolean;
  /** Dropped load reports and refused orders, by reason. */
  readonly droppedReports: Readonly<Record<string, number>>;
  readonly refusedOrders: Readonly<Record<string, number>>;
}
