import type { Random } from "@clementinemux/common/Random";

interface ShiftDemandOptions {
  readonly layerSets: number;
  readonly expertsPerSet: number;
  readonly random: Random;
}

/** Exponent of the popularity by place; the hottest expert is chosen about ten times as often as the mean. */
const skewPower = 1.1;

/** Which experts are in demand. The popularity by place stays, a shift gives the places to other experts. */
export class ShiftDemand {
  readonly #random: Random;
  readonly #weights: readonly number[];
  readonly #orders: number[][];

  constructor({ layerSets, expertsPerSet, random }: ShiftDemandOptions) {
    this.#random = random;
    const weights = Array.from({ length: expertsPerSet }, (_, place) => (place + 1) ** -skewPower);
    const sum = weights.reduce((total, weight) => total + weight, 0);
    this.#weights = weights.map((weight) => weight / sum);
    this.#orders = Array.from({ length: layerSets }, () => this.#shuffle(weights.map((_, expert) => expert)));
  }

  /** Share of each expert in the choices of its layer set. */
  get loads(): Float64Array[] {
    return this.#orders.map((order) => {
      const loads = new Float64Array(order.length);
      order.forEach((expert, place) => {
        loads[expert] = this.#weights[place] ?? 0;
      });
      return loads;
    });
  }

  /** Gives a share of the places of each layer set to other experts. */
  shift(share: number): void {
    for (const order of this.#orders) {
      const places = order.map((_, place) => place).filter(() => this.#random() < share);
      const experts = this.#shuffle(places.map((place) => order[place] ?? 0));
      places.forEach((place, index) => {
        order[place] = experts[index] ?? 0;
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
