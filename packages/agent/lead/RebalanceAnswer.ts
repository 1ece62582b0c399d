import type { PlanSummary } from "./PlanSummary";

/** Answer of the lead to `POST /agent/group/rebalance`. */
export interface RebalanceAnswer {
  /** Plan from the present loads; null when the lead has none yet. */
  readonly plan: PlanSummary | null;
  /** Whether the lead now carries out a changed map; false for a dry run and when nothing changes. */
  readonly started: boolean;
  /** Why nothing was planned; empty otherwise. */
  readonly refusal: string;
}
