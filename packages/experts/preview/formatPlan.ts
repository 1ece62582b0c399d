import type { Plan } from "../planner/Plan";
import { PlanReason } from "../planner/PlanReason";

const maxListedMoves = 20;

const explanations: Readonly<Record<PlanReason, string>> = {
  [PlanReason.Balanced]: "the load is balanced within the forecast error",
  [PlanReason.NotWorthIt]: "no change saves more step time than it delays work, by the group's weights",
  [PlanReason.SplitOnly]: "a shift of the split is enough; no weights move",
  [PlanReason.SplitOnlyBusy]: "busy hours: only the split is shifted",
  [PlanReason.Moves]: "the moves save more step time over the horizon than they delay work",
  [PlanReason.Busy]: "busy hours: no weights move, and a shift of the split gains nothing",
};

/** Output of `group rebalance --dry-run`. */
export function formatPlan(group: string, plan: Omit<Plan, "map">): string {
  const lines = [
    `group ${group}: ${plan.isChanged ? "change" : "no change"}`,
    `reason: ${explanations[plan.reason]}`,
    `skew now ${plan.presentSkew.toFixed(3)}, with the split shifted ${plan.splitSkew.toFixed(3)}, predicted ${plan.predictedSkew.toFixed(3)}`,
    `moves: ${plan.moves.length}, ${(plan.bytes / 1e9).toFixed(2)} GB, ${(plan.transferMs / 1000).toFixed(1)} s`,
    `step time saved ${(plan.savedMs / 1000).toFixed(1)} s, work delayed ${(plan.delayedMs / 1000).toFixed(2)} s`,
  ];
  for (const { layer, expert, toRank, startMs, durationMs } of plan.moves.slice(0, maxListedMoves)) {
    const times = `at ${(startMs / 1000).toFixed(1)} s for ${(durationMs / 1000).toFixed(2)} s`;
    lines.push(`  layer ${layer} expert ${expert} to rank ${toRank}, ${times}`);
  }
  if (plan.moves.length > maxListedMoves) {
    lines.push(`  and ${plan.moves.length - maxListedMoves} more`);
  }
  return lines.join("\n");
}
