import type { ExpertMap } from "./ExpertMap";
import { computeRankLoads } from "./computeRankLoads";

/**
 * Step-time skew: the time of the slowest rank summed over the layers, divided by the time of the mean rank
 * summed over the layers. Each layer waits for its own slowest rank, so the peaks of different ranks in
 * different layers add up.
 */
export function computeSkew(
  map: ExpertMap,
  loads: readonly ArrayLike<number>[],
  rankCount: number,
  rankSpeeds: ArrayLike<number> | null = null,
): number {
  let slowest = 0;
  let mean = 0;
  for (const [index, layer] of map.layers.entries()) {
    const rankLoads = computeRankLoads(layer, loads[index] ?? [], rankCount);
    let peak = 0;
    for (let rank = 0; rank < rankCount; rank += 1) {
      const load = rankLoads[rank] ?? 0;
      mean += load / rankCount;
      peak = Math.max(peak, load / (rankSpeeds?.[rank] ?? 1));
    }
    slowest += peak;
  }
  return mean === 0 ? 1 : slowest / mean;
}
