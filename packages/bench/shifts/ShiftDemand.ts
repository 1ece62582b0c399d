import type { Random } from "@clementinemux/common/Random";

interface ShiftDemandOptions {
  readonly layerSets: number;
  readonly expertsPerSet: number;
  readonly random: Random;
}

/**
 * Zipf exponent of the popularity. The most popular expert is chosen about ten times as often as the mean.
 */
const zipfExponent = 1.1;

/**
 * Popularity of the experts. The distribution is constant; a shift reassigns its popularity positions to
 * other experts.
 */
export class ShiftDemand {
  readonly #random: Random;
  readonly #weights: readonly number[];
  readonly #orders: number[][];

  constructor({ layerSets, expertsPerSet, random }: ShiftDemandOptions) {
    this.#random = random;
    const weights = Array.from({ length: expertsPerSet }, (_, position) => (position + 1) ** -zipfExponent);
    const sum = weights.reduce((total, weight) => total + weight, 0);
    this.#weights = weights.map((weight) => weight / sum);
    this.#orders = Array.from({ length: layerSets }, () => this.#shuffle(weights.map((_, expert) => expert)));
  }

  /** Load of each expert as a share of its layer set. */
  get loads(): Float64Array[] {
    return this.#orders.map((order) => {
      const loads = new Float64Array(order.length);
      order.forEach((expert, position) => {
        loads[expert] = this.#weights[position] ?? 0;
      });
      return loads;
    });
  }

  /** Reassigns a share of each layer set's popularity positions among their experts. */
  shift(share: number): void {
    for (const order of this.#orders) {
      const positions = order.map((_, position) => position).filter(() => this.#random() < share);
      const experts = this.#shuffle(positions.map((position) => order[position] ?? 0));
      positions.forEach((position, index) => {
        order[position] = experts[index] ?? 0;
      });
    }
  }

  #shuffle(items: number[]): number[] {
    for (let index = items.length - 1; index > 0; index -= 1) {
      const other = Math.floor(this.#random() * (index + 1));
      [items[index], items[other]] = [items[other] ?? 0, items[index] ?? 0];
    }
    return items;
  }
}
