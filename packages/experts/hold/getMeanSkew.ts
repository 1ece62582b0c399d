import type { BalancedLayer } from "./BalancedLayer";

/**
 * Mean skew of the layer sets. The mean is used since the pass time sums the most loaded rank of each set.
 */
export function getMeanSkew(layers: readonly BalancedLayer[]): number {
  return layers.reduce((sum, { skew }) => sum + skew, 0) / Math.max(1, layers.length);
}
