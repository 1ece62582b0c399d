import type { GroupPassState } from "./GroupPassState";
import { stalledSlowdown } from "./stalledSlowdown";

/**
 * Smaller differences come from short-term load; moving requests because of them would only swap the groups.
 */
const minSlowdown = 1.25;

/**
 * Computes the slowdown of each group of a service: its time for a forward pass as a multiple of the fastest
 * group's. All ranks of a group wait for its slowest rank, so a request completes sooner at any rank of a
 * faster group. For an idle group, the highest slowdown that its ranks report is used.
 */
export function computeGroupSlowdowns(groups: readonly GroupPassState[]): number[] {
  const running = groups.filter(({ passMs, isStalled }) => passMs !== null && !isStalled);
  if (groups.length < 2 || running.length === 0) {
    return groups.map(() => 1);
  }
  const fastestMs = Math.min(...running.map(({ passMs }) => passMs ?? Infinity));
  return groups.map(({ passMs, highestSlowdown, isStalled }) => {
    const slowdown = passMs === null ? highestSlowdown : passMs / fastestMs;
    return isStalled ? stalledSlowdown : slowdown < minSlowdown ? 1 : Math.min(slowdown, stalledSlowdown);
  });
}
