import type { EvenChange } from "./EvenChange";
import type { EvenLayer } from "./EvenLayer";

/** Carries out a change. */
export function applyEvenChange(layer: EvenLayer, change: EvenChange): void {
  const { expert, hotRank, coldRank, displaced, isSwap } = change;
  if (displaced !== null) {
    layer.remove(displaced, coldRank);
  }
  layer.add(expert, coldRank);
  if (isSwap && displaced !== null) {
    layer.remove(expert, hotRank);
    layer.add(displaced, hotRank);
  }
}
