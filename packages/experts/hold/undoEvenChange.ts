import type { EvenChange } from "./EvenChange";
import type { EvenLayer } from "./EvenLayer";

/** Reverts the change that was applied last. */
export function undoEvenChange(layer: EvenLayer, change: EvenChange): void {
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
