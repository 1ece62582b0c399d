import type { GroupPass } from "./GroupPass";
import { stoppedPace } from "./stoppedPace";

/** Differences below this come from the load of the moment, and moving requests for them would only swap the groups. */
const leastPace = 1.25;

/**
 * Times that the groups of one service take for a pass, as multiples of the quickest one's. All ranks of a group wait for
 * its slowest rank, so that a request is better off at any rank of another group. A group at rest is judged by its ranks.
 */
export function computeGroupPaces(groups: readonly GroupPass[]): number[] {
  const moving = groups.filter(({ passMs, isStopped }) => passMs !== null && !isStopped);
  if (groups.length < 2 || moving.length === 0) {
    return groups.map(() => 1);
  }
  const quickestMs = Math.min(...moving.map(({ passMs }) => passMs ?? Infinity));
  return groups.map(({ passMs, slowestPace, isStopped }) => {
    const pace = passMs === null ? slowestPace : passMs / quickestMs;
    return isStopped ? stoppedPace : pace < leastPace ? 1 : Math.min(pace, stoppedPace);
  });
}
