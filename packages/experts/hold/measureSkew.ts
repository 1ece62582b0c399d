import { EvenLayer } from "./EvenLayer";
import type { RankHosting } from "./RankHosting";

/** Load of the most loaded rank against the mean, on average over the layer sets; 1 is even. */
export function measureSkew(
  hosting: RankHosting,
  loads: readonly Float64Array[],
  paces: readonly number[],
): number {
  const skews = hosting.map((ranks, set) => {
    const layer = new EvenLayer(ranks, loads[set] ?? new Float64Array(0), paces);
    const mean = layer.getMean();
    return mean > 0 ? layer.getPeak() / mean : 1;
  });
  return skews.reduce((sum, skew) => sum + skew, 0) / Math.max(1, skews.length);
}
