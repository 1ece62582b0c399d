import { PopularityMeter } from "./PopularityMeter";
import type { RankHosting } from "./RankHosting";
import { measureSkew } from "./measureSkew";
import { removeOldDemand } from "./removeOldDemand";

interface DemandMonitorOptions {
  readonly layerSets: number;
  readonly expertsPerSet: number;
}

/** With fewer choices of experts by tokens, their popularity is too uncertain to plan by. */
const minChoices = 2000;
/** Minimum for the choices since the last review: a smaller sample looks uneven by chance. */
const minRecentChoices = 8000;
/** The demand has shifted when the choices since the last review raise the skew by this factor. */
const shiftFactor = 1.15;
/** The noise of a few requests reaches this skew, so a shift is suspected only above it. */
const minShiftSkew = 1.35;

/**
 * Tracks the demand for each expert and detects shifts of it. Steady demand is averaged over about half a
 * second. After a shift, the average mixes old and new demand, and a map planned from it soon has to be
 * replaced. Therefore the choices since the last review are compared with the average. If they load the ranks
 * much less evenly, the average restarts from them. The first such sample is a mixture, too. If the experts
 * that lost their demand show how much of the sample is new, that part is used at once; otherwise the sample
 * of the next review is used. Pure: the caller passes the current time.
 */
export class DemandMonitor {
  readonly #steady: PopularityMeter;
  readonly #recent: PopularityMeter;
  /** Demand before the choices that count as recent. */
  #previousLoads: readonly Float64Array[] = [];
  #isShifting = false;
  #isSeparated = false;

  constructor({ layerSets, expertsPerSet }: DemandMonitorOptions) {
    this.#steady = new PopularityMeter(layerSets, expertsPerSet);
    this.#recent = new PopularityMeter(layerSets, expertsPerSet);
  }

  /** Whether a shift is suspected, so that the next review should follow soon. */
  get isShifting(): boolean {
    return this.#isShifting;
  }

  /** Whether the loads returned last were separated from a mixture with older demand. */
  get isSeparated(): boolean {
    return this.#isSeparated;
  }

  /** Adds the counts of all ranks that responded at about the same time. */
  add(ranks: Parameters<PopularityMeter["add"]>[0], nowMs: number): void {
    this.#steady.add(ranks, nowMs);
    this.#recent.add(ranks, nowMs);
  }

  /** Number of choices since the last review: the sample size of the next one. */
  get recentChoices(): number {
    return this.#recent.total;
  }

  /**
   * Loads to plan by; null while the sample is too small, or a shift is too recent to know the new demand.
   */
  review(present: RankHosting, slowdowns: readonly number[]): readonly Float64Array[] | null {
    const recent = this.#recent.getLoads();
    this.#isSeparated = false;
    if (this.#recent.total < minRecentChoices) {
      return this.#isShifting || this.#steady.total < minChoices ? null : this.#steady.getLoads();
    }
    const wasShifting = this.#isShifting;
    const recentSkew = measureSkew(present, recent, slowdowns);
    const steadySkew = measureSkew(present, this.#steady.getLoads(), slowdowns);
    const isShifted = recentSkew > minShiftSkew && recentSkew > steadySkew * shiftFactor;
    const separated = isShifted && !wasShifting ? removeOldDemand(this.#previousLoads, recent) : null;
    const isNew = separated !== null || (isShifted && wasShifting);
    this.#recent.reset();
    this.#isShifting = isShifted && !isNew;
    this.#isSeparated = separated !== null;
    if (isNew) {
      this.#steady.reset();
      this.#previousLoads = separated ?? recent;
      return this.#previousLoads;
    }
    if (this.#isShifting) {
      return null;
    }
    this.#previousLoads = this.#steady.getLoads();
    return this.#steady.total < minChoices ? null : this.#previousLoads;
  }
}
