import type { ExpertMap } from "@clementinemux/experts/ExpertMap";
import type { LeaderActivation } from "@clementinemux/experts/activation/LeaderActivation";
import { LeaderActionKind } from "@clementinemux/experts/activation/LeaderActionKind";
import { LeaderPhase } from "@clementinemux/experts/activation/LeaderPhase";
import type { RankGroup } from "@clementinemux/standins/group/RankGroup";

// Joining, preparing, arming and telling take about 15 exchanges.
const maxExchanges = 100;

function exchange(lead: LeaderActivation, group: RankGroup, nowMs: number): void {
  for (const rank of group.ranks) {
    lead.handleStatus(rank.getStatus(nowMs));
  }
  for (const action of lead.step(nowMs)) {
    if (action.kind === LeaderActionKind.SendOrder) {
      group.ranks[action.order.rank]?.handle(action.order, nowMs);
    } else {
      lead.handleDecision(action.version, action.decision);
    }
  }
}

/** Runs the activation protocol without losses until the lead is idle; steps go on meanwhile. */
export function activateInMemory(
  lead: LeaderActivation,
  group: RankGroup,
  map: ExpertMap | null,
  tokens: readonly Float64Array[],
  nowMs: number,
): boolean {
  const isProposed = map === null || lead.propose(map, nowMs);
  for (let count = 0; isProposed && count < maxExchanges; count += 1) {
    exchange(lead, group, nowMs);
    group.completeWeightLoads();
    group.runStep(tokens);
    if (count > 0 && lead.phase === LeaderPhase.Idle) {
      return true;
    }
  }
  return false;
}
