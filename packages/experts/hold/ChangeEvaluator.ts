import type { BalancedChange } from "./BalancedChange";
import type { BalancedLayer } from "./BalancedLayer";
import { raiseTo8 } from "./raiseTo8";

/**
 * Computes the gains of changes of one layer set, which must not be modified meanwhile. A plan for 200 ranks compares
 * about 100,000 changes, so only the ranks that host one of the two experts are computed, without new objects.
 */
export class ChangeEvaluator {
  readonly #layer: BalancedLayer;
  readonly #peak: number;
  /** By rank: (load / highest load) to the power of 8. */
  readonly #weights: Float64Array;
  /** Change of the load by rank; zero between two calls. */
  readonly #deltas: Float64Array;
  readonly #touched: number[] = [];

  constructor(layer: BalancedLayer) {
    this.#layer = layer;
    this.#peak = layer.getPeak();
    this.#weights = layer.rankLoads.map((load) => raiseTo8(load / this.#peak));
    this.#deltas = new Float64Array(layer.rankCount);
  }

  /** Sum of the weights of all ranks. */
  getNorm(): number {
    return this.#weights.reduce((sum, weight) => sum + weight, 0);
  }

  /** How much a change lowers the norm; negative if it raises it. */
  getGain({ expert, hotRank, coldRank, displaced, isLeaving, isSwap }: BalancedChange): number {
    this.#moveReplica(expert, isLeaving ? hotRank : null, coldRank);
    if (displaced !== null) {
      this.#moveReplica(displaced, coldRank, isSwap ? hotRank : null);
    }
    let gain = 0;
    for (const rank of this.#touched) {
      const delta = this.#deltas[rank] ?? 0;
      // A rank that hosts both experts is listed twice; its delta is zero the second time.
      this.#deltas[rank] = 0;
      if (delta !== 0) {
        const load = (this.#layer.rankLoads[rank] ?? 0) + delta;
        gain += (this.#weights[rank] ?? 0) - raiseTo8(load / this.#peak);
      }
    }
    this.#touched.length = 0;
    return gain;
  }

  /** Adds the changes of the loads for a replica that leaves `from` or is added to `to`; null for neither. */
  #moveReplica(expert: number, from: number | null, to: number | null): void {
    const hosts = this.#layer.getHosts(expert);
    const load = this.#layer.getLoad(expert);
    const before = load / hosts.length;
    const after = load / (hosts.length - (from === null ? 0 : 1) + (to === null ? 0 : 1));
    for (const host of hosts) {
      this.#addLoad(host, host === from ? -before : after - before);
    }
    if (to !== null) {
      this.#addLoad(to, after);
    }
  }

  #addLoad(rank: number, load: number): void {
    this.#deltas[rank] = (this.#deltas[rank] ?? 0) + load * this.#layer.getSlowdown(rank);
    this.#touched.push(rank);
  }
}
