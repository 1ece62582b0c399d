import type { LayerMap } from "./LayerMap";

/** Computes the load of each rank in one layer from the load of each expert. */
export function computeRankLoads(
  layer: LayerMap,
  expertLoads: ArrayLike<number>,
  rankCount: number,
): Float64Array {
  const rankLoads = new Float64Array(rankCount);
  for (const [expert, hosts] of layer.hosts.entries()) {
    const load = expertLoads[expert] ?? 0;
    const shares = layer.shares[expert] ?? [];
    for (const [index, rank] of hosts.entries()) {
      rankLoads[rank] = (rankLoads[rank] ?? 0) + load * (shares[index] ?? 0);
    }
  }
  return rankLoads;
}
