import type { Random } from "@clementinemux/common/Random";

const hotChoicesPerMs = 300;
const coldChoicesPerMs = 4;
const minShiftMs = 500;
const shiftSpreadMs = 3500;

/** Simulated choices of experts, where the demand shifts to the experts of another rank every few seconds. */
export class ShiftingDemand {
  readonly #random: Random;
  readonly #ranks: number;
  readonly #counts: number[];
  #hotRank = 0;
  #countedMs = 0;
  #nextShiftMs = 0;

  constructor(experts: number, ranks: number, random: Random) {
    this.#random = random;
    this.#ranks = ranks;
    this.#counts = new Array<number>(experts).fill(0);
  }

  /** Returns the choices of each expert until `nowMs`, which must not decrease. */
  getCounts(nowMs: number): number[] {
    const elapsedMs = nowMs - this.#countedMs;
    this.#countedMs = nowMs;
    this.#counts.forEach((count, expert) => {
      const perMs = expert % this.#ranks === this.#hotRank ? hotChoicesPerMs : coldChoicesPerMs;
      this.#counts[expert] = count + perMs * elapsedMs;
    });
    if (nowMs >= this.#nextShiftMs) {
      this.#hotRank = Math.floor(this.#random() * this.#ranks);
      this.#nextShiftMs = nowMs + minShiftMs + this.#random() * shiftSpreadMs;
    }
    return [...this.#counts];
  }
}
