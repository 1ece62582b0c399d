import type { LayerMap } from "../LayerMap";
import type { LayerChange } from "./LayerChange";
import { LayerState } from "./LayerState";
import type { SearchStep } from "./SearchStep";
import { findBestChange } from "./findBestChange";

interface SearchLimits {
  readonly slotsPerRank: number;
  readonly maxSteps: number;
  /** The search ends when the slowest rank is within this share of the mean. */
  readonly toleranceShare: number;
  readonly fixedRanks: ReadonlySet<number>;
}

// The search ends after this many changes without a lower peak.
const maxStepsWithoutGain = 6;
const minGain = 1e-6;

function applyChange(state: LayerState, change: LayerChange): void {
  const { expert, hotRank, coldRank, displaced, isSwap } = change;
  if (displaced !== null && isSwap) {
    state.relocate(displaced, coldRank, hotRank);
    state.relocate(expert, hotRank, coldRank);
  } else {
    if (displaced !== null) {
      state.removeReplica(displaced, coldRank);
    }
    state.addReplica(expert, coldRank);
  }
  state.balance();
}

function countLoaded(present: LayerMap, hosts: readonly (readonly number[])[]): number {
  let count = 0;
  for (const [expert, ranks] of hosts.entries()) {
    const held = present.hosts[expert] ?? [];
    for (const rank of ranks) {
      count += held.includes(rank) ? 0 : 1;
    }
  }
  return count;
}

/**
 * Improves the placement of one layer step by step. The first step only changes the split and loads nothing;
 * each later step loads one or two experts. Only steps that lower the peak are returned.
 */
export function searchLayer(
  present: LayerMap,
  loads: Float64Array,
  speeds: Float64Array,
  limits: SearchLimits,
): SearchStep[] {
  const state = new LayerState(present, loads, speeds);
  const steps: SearchStep[] = [{ layer: present, peak: state.getPeak(), loadedCount: 0 }];
  let lowestPeak = state.getPeak();
  const record = (): boolean => {
    const peak = state.getPeak();
    if (peak >= lowestPeak * (1 - minGain)) {
      return false;
    }
    lowestPeak = peak;
    steps.push({ layer: state.toMap(), peak, loadedCount: countLoaded(present, state.hosts) });
    return true;
  };
  state.balance();
  record();
  let stepsWithoutGain = 0;
  for (let step = 0; step < limits.maxSteps && stepsWithoutGain < maxStepsWithoutGain; step += 1) {
    if (state.meanLoad === 0 || lowestPeak <= state.meanLoad * (1 + limits.toleranceShare)) {
      break;
    }
    const change = findBestChange(state, limits.slotsPerRank, limits.fixedRanks);
    if (change === null || change.gain < minGain) {
      break;
    }
    applyChange(state, change);
    stepsWithoutGain = record() ? 0 : stepsWithoutGain + 1;
  }
  return steps;
}
