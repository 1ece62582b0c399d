import { getOwn } from "@clementinemux/common/getOwn";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { slowGroupThreshold } from "./slowGroupThreshold";

interface SplitTargets {
  readonly healthy: readonly TargetRecord[];
  /** Ranks of slow groups, for requests that find no slot at the healthy ones. */
  readonly slow: readonly TargetRecord[];
}

/** From this slowdown on, streams do not complete in time, or no forward passes run at all. */
const maxUsableSlowdown = 5;
/**
 * A smaller share of slow targets are single ranks of a group, which slow the group down by the requests that
 * they run.
 */
const minSlowShare = 0.2;

/**
 * Separates the ranks of slow groups from the others. Covers a service of several groups, one of which has a
 * straggler, is stalled or is recovering: streams of that group are late in any case, those of the other
 * groups need not be.
 */
export function splitBySlowdown(
  targets: readonly TargetRecord[],
  slowdowns: Readonly<Record<string, number>>,
): SplitTargets {
  const healthy = targets.filter(({ id }) => (getOwn(slowdowns, id) ?? 1) < slowGroupThreshold);
  const isGroup = targets.length - healthy.length >= targets.length * minSlowShare;
  if (!isGroup || healthy.length === 0) {
    return { healthy: targets, slow: [] };
  }
  const slow = targets.filter(({ id }) => {
    const slowdown = getOwn(slowdowns, id) ?? 1;
    return slowdown >= slowGroupThreshold && slowdown < maxUsableSlowdown;
  });
  return { healthy, slow };
}
