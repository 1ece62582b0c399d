import type { ExpertMap } from "@clementinemux/experts/ExpertMap";
import type { LeaderActivation } from "@clementinemux/experts/activation/LeaderActivation";
import { LeaderActionKind } from "@clementinemux/experts/activation/LeaderActionKind";
import { LeaderPhase } from "@clementinemux/experts/activation/LeaderPhase";
import type { RankGroup } from "@clementinemux/standins/group/RankGroup";

// Joining, preparing, arming and reporting the decision take about 15 exchanges.
const maxExchanges = 100;

function exchange(leader: LeaderActivation, group: RankGroup, nowMs: number): void {
  for (const rank of group.ranks) {
    leader.handleStatus(rank.getStatus(nowMs));
  }
  for (const action of leader.step(nowMs)) {
    if (action.kind === LeaderActionKind.SendOrder) {
      group.ranks[action.order.rank]?.handle(action.order, nowMs);
    } else {
      leader.handleDecision(action.version, action.decision);
    }
  }
}

/**
 * Runs the activation protocol without message loss until the leader is idle. The group keeps running steps.
 */
export function activateInMemory(
  leader: LeaderActivation,
  group: RankGroup,
  map: ExpertMap | null,
  tokens: readonly Float64Array[],
  nowMs: number,
): boolean {
  const isProposed = map === null || leader.propose(map, nowMs);
  for (let count = 0; isProposed && count < maxExchanges; count += 1) {
    exchange(leader, group, nowMs);
    group.completeWeightLoads();
    group.runStep(tokens);
    if (count > 0 && leader.phase === LeaderPhase.Idle) {
      return true;
    }
  }
  return false;
}
