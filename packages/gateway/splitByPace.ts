import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { slowPace } from "./slowPace";

interface SplitTargets {
  readonly sound: readonly TargetRecord[];
  /** Ranks of slow groups, for what the sound ones have no place for. */
  readonly slow: readonly TargetRecord[];
}

/** Past this pace streams do not end within their time, or no passes are run at all. */
const uselessPace = 5;
/** Fewer slow targets than this share are single ranks of a group, which delay it by what they run. */
const leastSlowShare = 0.2;

/**
 * Separates the ranks of slow groups from the others. Answers the load of a service of several groups, one of which has a
 * straggler, stands still or forms again: streams there are late whatever is done, those of the other groups need not be.
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
