import { BalancedLayer } from "./BalancedLayer";
import type { BalancedPlan } from "./BalancedPlan";
import type { BalancedPlanInput } from "./BalancedPlanInput";
import { applyBalancedChange } from "./applyBalancedChange";
import { findBalancedChange } from "./findBalancedChange";
import { getMeanSkew } from "./getMeanSkew";

/** Bounds the planning time; the next plan continues with what is left. */
const maxChanges = 400;

/**
 * Plans the next placement from the present one. It improves the layer set with the highest skew first, since
 * the pass time sums the most loaded rank of each set, until the ranks have reached their limit of new
 * experts.
 */
export function planBalancedMap(input: BalancedPlanInput): BalancedPlan {
  const { present, loads, paces: slowdowns, placements, spare, maxNewPerRank, goalSkew } = input;
  const layers = present.map(
    (ranks, set) => new BalancedLayer(ranks, loads[set] ?? new Float64Array(0), slowdowns),
  );
  const presentSkew = getMeanSkew(layers);
  const rankCount = layers[0]?.rankCount ?? 0;
  const countNew = (rank: number): number => layers.reduce((sum, layer) => sum + layer.getNewCount(rank), 0);
  /** By rank, over all layer sets. */
  const newCounts = new Int32Array(rankCount);
  const open = new Set(layers);
  for (let changes = 0; changes < maxChanges && open.size > 0; changes += 1) {
    const layer = [...open].reduce((left, right) => (left.skew >= right.skew ? left : right));
    const mayTake = (rank: number): boolean =>
      layer.getNewCount(rank) < spare && (newCounts[rank] ?? 0) < maxNewPerRank;
    const change = layer.skew > goalSkew ? findBalancedChange(layer, { placements, mayTake }) : null;
    if (change === null) {
      open.delete(layer);
    } else {
      applyBalancedChange(layer, change);
      for (const rank of [change.hotRank, change.coldRank ?? change.hotRank]) {
        newCounts[rank] = countNew(rank);
      }
    }
  }
  return {
    hosting: layers.map((layer) => layer.toHosting()),
    presentSkew,
    plannedSkew: getMeanSkew(layers),
    copies: layers.reduce((sum, layer) => sum + layer.countNew(), 0),
    newPerRank: Math.max(0, ...newCounts),
  };
}
