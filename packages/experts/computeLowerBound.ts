import type { GroupShape } from "./GroupShape";

/**
 * Lower bound of the skew of any map. In each layer, the load of the slowest rank is at least the mean load,
 * and at least the load of the hottest expert divided by the number of replicas that the spare slots allow.
 */
export function computeLowerBound(shape: GroupShape, loads: readonly Float64Array[]): number {
  const spareSlots = shape.rankCount * shape.slotsPerRank - shape.expertCount;
  const allowedReplicas = Math.max(1, Math.min(shape.rankCount, 1 + spareSlots));
  let slowest = 0;
  let mean = 0;
  for (const layer of loads) {
    let total = 0;
    let hottest = 0;
    for (const load of layer) {
      total += load;
      hottest = Math.max(hottest, load);
    }
    slowest += Math.max(total / shape.rankCount, hottest / allowedReplicas);
    mean += total / shape.rankCount;
  }
  return mean === 0 ? 1 : slowest / mean;
}
