import type { BalancedChange } from "./BalancedChange";
import type { BalancedLayer } from "./BalancedLayer";

/** Reverts the change that was applied last. */
export function undoBalancedChange(layer: BalancedLayer, change: BalancedChange): void {
  const { expert, hotRank, coldRank, displaced, isLeaving, isSwap } = change;
  if (isSwap && displaced !== null) {
    layer.remove(displaced, hotRank);
  }
  if (isLeaving) {
    layer.add(expert, hotRank);
  }
  if (coldRank !== null) {
    layer.remove(expert, coldRank);
    if (displaced !== null) {
      layer.add(displaced, coldRank);
    }
  }
}
