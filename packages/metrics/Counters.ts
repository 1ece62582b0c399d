/** Counters of one metric, one per value of a label, such as one per refusal reason. */
export class Counters<Label extends string> {
  readonly name: string;
  readonly labelName: string;
  readonly #values = new Map<Label, number>();

  /** Starts the counter of every label value at 0, so that values that never occurred are exported too. */
  constructor(name: string, labelName: string, labels: readonly Label[]) {
    this.name = name;
    this.labelName = labelName;
    for (const label of labels) {
      this.#values.set(label, 0);
    }
  }

  add(label: Label, amount = 1): void {
    this.#values.set(label, this.get(label) + amount);
  }

  get(label: Label): number {
    return this.#values.get(label) ?? 0;
  }

  entries(): IterableIterator<[Label, number]> {
    return this.#values.entries();
  }
}
