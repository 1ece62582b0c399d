import type { Random } from "@clementinemux/common/Random";
import { createRandom } from "@clementinemux/common/createRandom";
import type { DemandSettings } from "./DemandSettings";

const dayMs = 24 * 3_600_000;
// Each expert drifts with the day and, at half that amplitude, with a faster cycle; the phases are random.
const fastCycleMs = 5 * 3_600_000;

interface ExpertCycle {
  readonly logWeight: number;
  readonly dayPhase: number;
  readonly fastPhase: number;
  readonly isInFlash: boolean;
}

function createCycles(settings: DemandSettings, random: Random): ExpertCycle[] {
  const ranking = Array.from({ length: settings.expertCount }, (_, index) => ({ index, key: random() }));
  ranking.sort((left, right) => left.key - right.key);
  return ranking.map(({ index }) => ({
    logWeight: -settings.exponent * Math.log(index + 1),
    dayPhase: random() * 2 * Math.PI,
    fastPhase: random() * 2 * Math.PI,
    isInFlash: random() < (settings.flash?.expertShare ?? 0),
  }));
}

/**
 * Popularity of experts: a Zipf distribution per layer that drifts through the day, with an optional flash
 * crowd.
 */
export class ExpertDemand {
  readonly #settings: DemandSettings;
  readonly #cycles: ExpertCycle[][];

  constructor(settings: DemandSettings) {
    this.#settings = settings;
    const random = createRandom(settings.seed);
    this.#cycles = Array.from({ length: settings.layerCount }, () => createCycles(settings, random));
  }

  /** Expected share of a layer's tokens that each expert receives at a time of day. */
  getShares(layer: number, atMs: number): Float64Array {
    const { driftAmplitude, flash } = this.#settings;
    const isFlash = flash !== null && atMs >= flash.startMs && atMs < flash.endMs;
    const dayAngle = (2 * Math.PI * atMs) / dayMs;
    const fastAngle = (2 * Math.PI * atMs) / fastCycleMs;
    const weights = Float64Array.from(this.#cycles[layer] ?? [], (cycle) => {
      const day = Math.sin(dayAngle + cycle.dayPhase);
      const fast = Math.sin(fastAngle + cycle.fastPhase) / 2;
      const weight = Math.exp(cycle.logWeight + driftAmplitude * (day + fast));
      return isFlash && cycle.isInFlash ? weight * flash.factor : weight;
    });
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    return weights.map((weight) => weight / total);
  }
}
