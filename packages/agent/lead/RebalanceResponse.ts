import type { PlanSummary } from "./PlanSummary";

/** Response of the leader to `POST /agent/group/rebalance`. */
export interface RebalanceResponse {
  /** Plan from the current loads; null when none was made. */
  readonly plan: PlanSummary | null;
  /**
   * Whether the leader has started to activate a changed map; false for a dry run and for an unchanged map.
   */
  readonly started: boolean;
  /** Why no plan was made; empty otherwise. */
  readonly refusal: string;
}
