import type { BalancedChange } from "./BalancedChange";
import type { BalancedLayer } from "./BalancedLayer";

export function applyBalancedChange(layer: BalancedLayer, change: BalancedChange): void {
  const { expert, hotRank, coldRank, displaced, isLeaving, isSwap } = change;
  if (coldRank !== null) {
    if (displaced !== null) {
      layer.remove(displaced, coldRank);
    }
    layer.add(expert, coldRank);
  }
  if (isLeaving) {
    layer.remove(expert, hotRank);
  }
  if (isSwap && displaced !== null) {
    layer.add(displaced, hotRank);
  }
}
