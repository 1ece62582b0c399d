/** Numbers of one term. A rank without an answer takes 14 a second, so that they last for two years. */
const numbersPerTerm = 2 ** 30;
/** Numbers for one activation by another process, which gives each rank at most two orders a round, for six rounds. */
const numbersHandedOver = 16;

/**
 * Fencing numbers of the orders that one lead gives to all its groups. A rank refuses an order with a lower number than the
 * highest that it has accepted, also one that it carries out late; the numbers of a later term are higher.
 */
export class FenceNumbers {
  #floor: number;
  #highest: number;

  /** `floor` is the lowest number that may be used. */
  constructor(floor: number) {
    this.#floor = floor;
    this.#highest = floor;
  }

  static ofTerm(term: number): FenceNumbers {
    return new FenceNumbers(term * numbersPerTerm);
  }

  /** Coordinators of earlier releases have the term itself as the number of all their orders. */
  static getTerm(number: number): number {
    return number < numbersPerTerm ? number : Math.floor(number / numbersPerTerm);
  }

  /** Lowest number of an order that is given now. */
  get floor(): number {
    return this.#floor;
  }

  /** Takes the next number for a rank whose last order had `number`. */
  raise(number: number): number {
    const raised = number + 1;
    this.#highest = Math.max(this.#highest, raised);
    return raised;
  }

  /** Gives all later orders of this lead higher numbers than any before. */
  raiseFloor(): void {
    this.#highest += 1;
    this.#floor = this.#highest;
  }

  /**
   * Sets numbers aside for another process and returns the lowest of them. All later orders of this lead have higher ones,
   * so that it need not know whether that process is still at work.
   */
  handOver(): number {
    const lowest = this.#highest + 1;
    this.#highest += numbersHandedOver;
    this.raiseFloor();
    return lowest;
  }
}
