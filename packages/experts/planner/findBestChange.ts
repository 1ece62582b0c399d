import type { LayerChange } from "./LayerChange";
import type { LayerState } from "./LayerState";

// More source and destination ranks take time without giving better maps.
const hotRankCount = 2;
const coldRankCount = 10;

/**
 * Term of a smooth approximation of the peak: the sum of eighth powers also decreases if several ranks share
 * the peak.
 */
function getPotential(time: number): number {
  const square = time * time;
  const fourth = square * square;
  return fourth * fourth;
}

function sortRanks(state: LayerState): number[] {
  const times = state.rankLoads.map((load, rank) => load / (state.speeds[rank] ?? 1) / state.meanLoad);
  return Array.from(times.keys()).sort((left, right) => (times[right] ?? 0) - (times[left] ?? 0));
}

interface Exchange {
  readonly hotRank: number;
  readonly coldRank: number;
  /** Load that is removed from the hot rank, and load that is removed from the cold rank in exchange. */
  readonly moved: number;
  readonly returned: number;
}

function computeGain(state: LayerState, { hotRank, coldRank, moved, returned }: Exchange): number {
  const hotSpeed = (state.speeds[hotRank] ?? 1) * state.meanLoad;
  const coldSpeed = (state.speeds[coldRank] ?? 1) * state.meanLoad;
  const hot = state.rankLoads[hotRank] ?? 0;
  const cold = state.rankLoads[coldRank] ?? 0;
  return (
    getPotential(hot / hotSpeed) +
    getPotential(cold / coldSpeed) -
    getPotential((hot - moved) / hotSpeed) -
    getPotential((cold + moved - returned) / coldSpeed)
  );
}

/** Part of the expert's load that a new replica takes over so that both ranks have equal times. */
function getReplicaPart(
  state: LayerState,
  part: number,
  hotRank: number,
  coldRank: number,
  freed: number,
): number {
  const hot = state.rankLoads[hotRank] ?? 0;
  const cold = (state.rankLoads[coldRank] ?? 0) - freed;
  const hotSpeed = state.speeds[hotRank] ?? 1;
  const coldSpeed = state.speeds[coldRank] ?? 1;
  return Math.max(0, Math.min(part, (hot * coldSpeed - cold * hotSpeed) / (hotSpeed + coldSpeed)));
}

/** Increase in potential of the ranks that take over the load of a removed replica, in equal parts. */
function computeDisplacedCost(state: LayerState, expert: number, rank: number, part: number): number {
  const ranks = state.hosts[expert] ?? [];
  const each = part / Math.max(1, ranks.length - 1);
  let cost = 0;
  for (const other of ranks) {
    if (other !== rank) {
      const time = (state.rankLoads[other] ?? 0) / state.meanLoad;
      cost += getPotential(time + each / state.meanLoad) - getPotential(time);
    }
  }
  return cost;
}

class ChangeSearch {
  best: LayerChange | null = null;
  readonly #state: LayerState;
  readonly #slotsPerRank: number;

  constructor(state: LayerState, slotsPerRank: number) {
    this.#state = state;
    this.#slotsPerRank = slotsPerRank;
  }

  tryExpert(expert: number, hotRank: number, coldRank: number): void {
    const state = this.#state;
    const part = state.getPart(expert, hotRank);
    if (part <= 0 || state.hosts[expert]?.includes(coldRank) === true) {
      return;
    }
    if ((state.experts[coldRank]?.length ?? 0) < this.#slotsPerRank) {
      const moved = getReplicaPart(state, part, hotRank, coldRank, 0);
      const gain = computeGain(state, { hotRank, coldRank, moved, returned: 0 });
      this.#consider({ expert, hotRank, coldRank, displaced: null, isSwap: false, gain });
    }
    for (const displaced of state.experts[coldRank] ?? []) {
      this.#tryDisplacing(expert, part, hotRank, coldRank, displaced);
    }
  }

  #tryDisplacing(expert: number, part: number, hotRank: number, coldRank: number, displaced: number): void {
    const state = this.#state;
    const returned = state.getPart(displaced, coldRank);
    if ((state.hosts[displaced]?.length ?? 0) > 1) {
      const moved = getReplicaPart(state, part, hotRank, coldRank, returned);
      const gain =
        computeGain(state, { hotRank, coldRank, moved, returned }) -
        computeDisplacedCost(state, displaced, coldRank, returned);
      this.#consider({ expert, hotRank, coldRank, displaced, isSwap: false, gain });
    }
    if (returned < part && state.hosts[displaced]?.includes(hotRank) !== true) {
      const moved = part - returned;
      const gain = computeGain(state, { hotRank, coldRank, moved, returned: 0 }) / 2;
      this.#consider({ expert, hotRank, coldRank, displaced, isSwap: true, gain });
    }
  }

  #consider(change: LayerChange): void {
    if (change.gain > (this.best?.gain ?? 0)) {
      this.best = change;
    }
  }
}

/**
 * Finds the change with the largest estimated gain per loaded expert that takes load off one of the slowest
 * ranks. Ranks in `fixedRanks` are slow regardless of load, so no weights are moved off them.
 */
export function findBestChange(
  state: LayerState,
  slotsPerRank: number,
  fixedRanks: ReadonlySet<number>,
): LayerChange | null {
  const ranks = sortRanks(state);
  const search = new ChangeSearch(state, slotsPerRank);
  for (const hotRank of ranks.filter((rank) => !fixedRanks.has(rank)).slice(0, hotRankCount)) {
    for (const expert of state.experts[hotRank] ?? []) {
      for (const coldRank of ranks.slice(-coldRankCount)) {
        if (coldRank !== hotRank) {
          search.tryExpert(expert, hotRank, coldRank);
        }
      }
    }
  }
  return search.best;
}
