import { PopularityMeter } from "./PopularityMeter";
import type { RankHosting } from "./RankHosting";
import { measureSkew } from "./measureSkew";
import { separateDemand } from "./separateDemand";

interface DemandMonitorOptions {
  readonly layerSets: number;
  readonly expertsPerSet: number;
}

/** Choices below which the popularity is not known well enough. */
const leastChoices = 2000;
/** The same for the choices since the last look: fewer seem uneven by chance. */
const leastRecentChoices = 8000;
/** Other experts are in demand when the choices since the last look load the ranks less evenly by this factor. */
const shiftFactor = 1.15;
/** No shift is suspected below this skew, which the noise of few requests reaches. */
const leastShiftSkew = 1.35;

/**
 * Which experts are chosen. Steady demand is averaged over about half a second. After a shift that average mixes the old
 * demand with the new one, and a map planned from it has to be replaced soon; so the choices made since the last look
 * are compared with it, and when they load the ranks much less evenly it starts anew from them. The first such choices
 * are a mixture too; when the experts that lost their demand tell how much of it is new, that part is planned by at once,
 * otherwise the choices up to the next look are. Has no clock.
 */
export class DemandMonitor {
  readonly #steady: PopularityMeter;
  readonly #recent: PopularityMeter;
  /** Demand before the choices that count as recent. */
  #before: readonly Float64Array[] = [];
  #isShifting = false;
  #isSeparated = false;

  constructor({ layerSets, expertsPerSet }: DemandMonitorOptions) {
    this.#steady = new PopularityMeter(layerSets, expertsPerSet);
    this.#recent = new PopularityMeter(layerSets, expertsPerSet);
  }

  /** Whether a shift is suspected, so that the next look should come soon. */
  get isShifting(): boolean {
    return this.#isShifting;
  }

  /** Whether the loads that were returned last were separated from a mixture with an older demand. */
  get isSeparated(): boolean {
    return this.#isSeparated;
  }

  /** Takes the counts of all ranks that answered at about the same moment. */
  add(ranks: Parameters<PopularityMeter["add"]>[0], nowMs: number): void {
    this.#steady.add(ranks, nowMs);
    this.#recent.add(ranks, nowMs);
  }

  /** Choices since the last review, which tells how certain it is. */
  get recentChoices(): number {
    return this.#recent.total;
  }

  /** Loads to plan by; null while too little is known, or a shift is too fresh to tell where it leads. */
  review(present: RankHosting, paces: readonly number[]): readonly Float64Array[] | null {
    const recent = this.#recent.getLoads();
    this.#isSeparated = false;
    if (this.#recent.total < leastRecentChoices) {
      return this.#isShifting || this.#steady.total < leastChoices ? null : this.#steady.getLoads();
    }
    const wasShifting = this.#isShifting;
    const recentSkew = measureSkew(present, recent, paces);
    const steadySkew = measureSkew(present, this.#steady.getLoads(), paces);
    const isShifted = recentSkew > leastShiftSkew && recentSkew > steadySkew * shiftFactor;
    const separated = isShifted && !wasShifting ? separateDemand(this.#before, recent) : null;
    const isNew = separated !== null || (isShifted && wasShifting);
    this.#recent.forget();
    this.#isShifting = isShifted && !isNew;
    this.#isSeparated = separated !== null;
    if (isNew) {
      this.#steady.forget();
      this.#before = separated ?? recent;
      return this.#before;
    }
    if (this.#isShifting) {
      return null;
    }
    this.#before = this.#steady.getLoads();
    return this.#steady.total < leastChoices ? null : this.#before;
  }
}
