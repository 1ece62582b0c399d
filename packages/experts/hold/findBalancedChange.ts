import type { BalancedChange } from "./BalancedChange";
import type { BalancedLayer } from "./BalancedLayer";
import { ChangeEvaluator } from "./ChangeEvaluator";

interface ChangeLimits {
  readonly placements: number;
  /** Whether a rank may get one more new expert in this layer set. */
  readonly mayTake: (rank: number) => boolean;
}

/** Number of least loaded ranks to consider; bounds the planning time of large groups. */
const maxColdRanks = 12;
const minGainShare = 0.001;

/** Finds the change of the most loaded rank with the highest gain per copied expert; null when none helps. */
export function findBalancedChange(layer: BalancedLayer, limits: ChangeLimits): BalancedChange | null {
  const hotRank = layer.getHottest();
  const evaluator = new ChangeEvaluator(layer);
  let bestGain = evaluator.getNorm() * minGainShare;
  let best: BalancedChange | null = null;
  for (const change of listChanges(layer, hotRank, limits)) {
    const gain = evaluator.getGain(change);
    const gainPerCopy = gain / Math.max(1, countCopies(layer, change));
    if (gainPerCopy > bestGain) {
      bestGain = gainPerCopy;
      best = change;
    }
  }
  return best;
}

function* listChanges(
  layer: BalancedLayer,
  hotRank: number,
  limits: ChangeLimits,
): Generator<BalancedChange> {
  const ranks = Array.from({ length: layer.rankCount }, (_, rank) => rank);
  const cold = ranks
    .filter((rank) => rank !== hotRank)
    .sort((left, right) => (layer.rankLoads[left] ?? 0) - (layer.rankLoads[right] ?? 0))
    .slice(0, maxColdRanks);
  for (const expert of layer.getExperts(hotRank)) {
    if (layer.getHosts(expert).length > 1) {
      yield { expert, hotRank, coldRank: null, displaced: null, isLeaving: true, isSwap: false };
    }
    for (const coldRank of cold) {
      const hasRoom = limits.mayTake(coldRank) || !layer.isNew(expert, coldRank);
      if (hasRoom && !layer.getHosts(expert).includes(coldRank)) {
        yield* listMoves(layer, expert, hotRank, coldRank, limits);
      }
    }
  }
}

function* listMoves(
  layer: BalancedLayer,
  expert: number,
  hotRank: number,
  coldRank: number,
  { placements, mayTake }: ChangeLimits,
): Generator<BalancedChange> {
  // Spreading a common object into each change would take half of the planning time.
  const create = (displaced: number | null, isLeaving: boolean, isSwap: boolean): BalancedChange => ({
    expert,
    hotRank,
    coldRank,
    displaced,
    isLeaving,
    isSwap,
  });
  if (layer.getExperts(coldRank).length < placements) {
    yield create(null, false, false);
    yield create(null, true, false);
  }
  for (const displaced of layer.getExperts(coldRank)) {
    const hosts = layer.getHosts(displaced);
    if (hosts.length > 1) {
      yield create(displaced, false, false);
      yield create(displaced, true, false);
    }
    if (!hosts.includes(hotRank) && (mayTake(hotRank) || !layer.isNew(displaced, hotRank))) {
      yield create(displaced, true, true);
    }
  }
}

/**
 * Number of experts that a change has to copy. Dropping a replica copies none but discards an earlier copy.
 */
function countCopies(
  layer: BalancedLayer,
  { expert, hotRank, coldRank, displaced, isSwap }: BalancedChange,
): number {
  const isCopiedToCold = coldRank !== null && layer.isNew(expert, coldRank);
  const isCopiedToHot = isSwap && displaced !== null && layer.isNew(displaced, hotRank);
  return (isCopiedToCold ? 1 : 0) + (isCopiedToHot ? 1 : 0);
}
