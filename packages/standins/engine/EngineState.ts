interface EngineOrder {
  readonly kind: "load_model" | "load_adapter" | "set_version" | "set_role";
  readonly value: string;
  readonly epoch: number;
}

/** Models, adapters, version and role of the engine, which orders change. */
export class EngineState {
  readonly models: Set<string>;
  readonly adapters = new Set<string>();
  version = "";
  role = "both";
  readonly #checksFencing: boolean;
  #highestEpoch = 0;

  constructor(models: readonly string[], checksFencing: boolean) {
    this.models = new Set(models);
    this.#checksFencing = checksFencing;
  }

  /**
   * Applies an order. Returns false if this engine checks fencing and the order's epoch is below the highest
   * one seen.
   */
  apply(order: EngineOrder): boolean {
    if (this.#checksFencing && order.epoch < this.#highestEpoch) {
      return false;
    }
    this.#highestEpoch = Math.max(this.#highestEpoch, order.epoch);
    if (order.kind === "load_model") {
      this.models.add(order.value);
    } else if (order.kind === "load_adapter") {
      this.adapters.add(order.value);
    } else if (order.kind === "set_version") {
      this.version = order.value;
    } else {
      this.role = order.value;
    }
    return true;
  }
}
