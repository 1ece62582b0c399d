import type { ExpertMap } from "@clementinemux/experts/ExpertMap";
import type { LeadActivation } from "@clementinemux/experts/activation/LeadActivation";
import { LeadActionKind } from "@clementinemux/experts/activation/LeadActionKind";
import { LeadPhase } from "@clementinemux/experts/activation/LeadPhase";
import type { RankGroup } from "@clementinemux/standins/group/RankGroup";

// Joining, preparing, arming and telling take about 15 exchanges.
const maxExchanges = 100;

function exchange(lead: LeadActivation, group: RankGroup, nowMs: number): void {
  for (const rank of group.ranks) {
    lead.handleStatus(rank.getStatus(nowMs));
  }
  for (const action of lead.step(nowMs)) {
    if (action.kind === LeadActionKind.SendOrder) {
      group.ranks[action.order.rank]?.handle(action.order, nowMs);
    } else {
      lead.handleDecision(action.version, action.decision);
    }
  }
}

/** Runs the activation protocol without losses until the lead is idle; steps go on meanwhile. */
export function activateInMemory(
  lead: LeadActivation,
  group: RankGroup,
  map: ExpertMap | null,
  tokens: readonly Float64Array[],
  nowMs: number,
): boolean {
  const isProposed = map === null || lead.propose(map, nowMs);
  for (let count = 0; isProposed && count < maxExchanges; count += 1) {
    exchange(lead, group, nowMs);
    group.finishLoads();
    group.runStep(tokens);
    if (count > 0 && lead.phase === LeadPhase.Idle) {
      return true;
    }
  }
  return false;
}
