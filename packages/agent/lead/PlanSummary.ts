import type { Plan } from "@clementinemux/experts/planner/Plan";

/** Plan without its map, as reported by the leader. */
export type PlanSummary = Omit<Plan, "map">;
