import type { Random } from "@clementinemux/common/Random";

const hotChoicesPerMs = 300;
const coldChoicesPerMs = 4;
const leastShiftMs = 500;
const shiftSpreadMs = 3500;

/** Choices of experts, of which the experts of another rank are in demand every few seconds. */
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

  /** Choices of each expert up to now; the time may not go back. */
  getCounts(nowMs: number): number[] {
    const elapsedMs = nowMs - this.#countedMs;
    this.#countedMs = nowMs;
    this.#counts.forEach((count, expert) => {
      const perMs = expert % this.#ranks === this.#hotRank ? hotChoicesPerMs : coldChoicesPerMs;
      this.#counts[expert] = count + perMs * elapsedMs;
    });
    if (nowMs >= this.#nextShiftMs) {
      this.#hotRank = Math.floor(this.#random() * this.#ranks);
      this.#nextShiftMs = nowMs + leastShiftMs + this.#random() * shiftSpreadMs;
    }
    return [...this.#counts];
  }
}
