import type { SearchStep } from "./SearchStep";

interface Segment {
  readonly layer: number;
  readonly step: number;
  readonly savedPeak: number;
  readonly loadedCount: number;
  readonly value: number;
}

interface StepPricing {
  /** Value of removing one unit of load from a layer's slowest rank. */
  readonly peakValue: number;
  /** Cost of loading one expert. */
  readonly loadCost: number;
  readonly maxLoadedCount: number;
}

function getRatio({ value, loadedCount }: Segment): number {
  return loadedCount <= 0 ? Number.POSITIVE_INFINITY : value / loadedCount;
}

function findBestSegment(
  layers: readonly (readonly SearchStep[])[],
  chosen: readonly number[],
  pricing: StepPricing,
  remainingCount: number,
): Segment | null {
  let best: Segment | null = null;
  for (const [layer, steps] of layers.entries()) {
    const from = steps[chosen[layer] ?? 0];
    for (let step = (chosen[layer] ?? 0) + 1; from !== undefined && step < steps.length; step += 1) {
      const to = steps[step];
      if (to === undefined) {
        continue;
      }
      const savedPeak = from.peak - to.peak;
      const loadedCount = to.loadedCount - from.loadedCount;
      const value = savedPeak * pricing.peakValue - Math.max(0, loadedCount) * pricing.loadCost;
      const segment = { layer, step, savedPeak, loadedCount, value };
      const isAffordable = loadedCount <= remainingCount && value > 0;
      if (isAffordable && (best === null || getRatio(segment) > getRatio(best))) {
        best = segment;
      }
    }
  }
  return best;
}

/**
 * Chooses how many steps of each layer's search to take, within a common limit of loaded experts. Segments
 * with the highest value per loaded expert come first, so the layers that gain most get the bandwidth.
 */
export function chooseSteps(layers: readonly (readonly SearchStep[])[], pricing: StepPricing): number[] {
  const chosen = layers.map(() => 0);
  let remainingCount = pricing.maxLoadedCount;
  for (;;) {
    const segment = findBestSegment(layers, chosen, pricing, remainingCount);
    if (segment === null) {
      return chosen;
    }
    chosen[segment.layer] = segment.step;
    remainingCount -= segment.loadedCount;
  }
}
