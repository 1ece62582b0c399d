import type { EvenLayer } from "./EvenLayer";

/** Mean of the layer sets' skews; the time of a pass adds up the most loaded rank of each. */
export function getMeanSkew(layers: readonly EvenLayer[]): number {
  return layers.reduce((sum, { skew }) => sum + skew, 0) / Math.max(1, layers.length);
}
