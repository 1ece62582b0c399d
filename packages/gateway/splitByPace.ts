import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { slowPace } from "./slowPace";

interface SplitTargets {
  readonly sound: readonly TargetRecord[];
  /** Ranks of slow groups, for requests that find no slot at the healthy ones. */
  readonly slow: readonly TargetRecord[];
}

/** From this slowdown on, streams do not complete in time, or no forward passes run at all. */
const uselessPace = 5;
/**
 * A smaller share of slow targets are single ranks of a group, which slow the group down by the requests that
 * they run.
 */
const leastSlowShare = 0.2;

/**
 * Separates the ranks of slow groups from the others. Covers a service of several groups, one of which has a
 * straggler, is stalled or is recovering: streams of that group are late in any case, those of the other
 * groups need not be.
 */
export function splitByPace(
  targets: readonly TargetRecord[],
  paces: Readonly<Record<string, number>>,
): SplitTargets {
  const sound = targets.filter(({ id }) => (paces[id] ?? 1) < slowPace);
  const isGroup = targets.length - sound.length >= targets.length * leastSlowShare;
  if (!isGroup || sound.length === 0) {
    return { sound: targets, slow: [] };
  }
  const slow = targets.filter(({ id }) => {
    const pace = paces[id] ?? 1;
    return pace >= slowPace && pace < uselessPace;
  });
  return { sound, slow };
}
