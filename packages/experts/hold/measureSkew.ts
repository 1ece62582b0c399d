import { BalancedLayer } from "./BalancedLayer";
import type { RankHosting } from "./RankHosting";
import { getMeanSkew } from "./getMeanSkew";

/** Load of the most loaded rank divided by the mean, averaged over the layer sets; 1 is balanced. */
export function measureSkew(
  hosting: RankHosting,
  loads: readonly Float64Array[],
  slowdowns: readonly number[],
): number {
  return getMeanSkew(
    hosting.map((ranks, set) => new BalancedLayer(ranks, loads[set] ?? new Float64Array(0), slowdowns)),
  );
}
