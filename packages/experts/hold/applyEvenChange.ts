import type { EvenChange } from "./EvenChange";
import type { EvenLayer } from "./EvenLayer";

export function applyEvenChange(layer: EvenLayer, change: EvenChange): void {
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
