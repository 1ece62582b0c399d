import type { Plan } from "@clementinemux/experts/planner/Plan";

/** Plan without its map, as the lead reports it. */
export type PlanSummary = Omit<Plan, "map">;
