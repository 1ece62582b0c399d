import type { LayerMap } from "../LayerMap";
import { divideByWaterFilling } from "./divideByWaterFilling";

// Further sweeps change the most loaded rank by less than the forecast error.
const maxSweeps = 12;
const convergedShare = 1e-4;

/** Mutable placement of one layer during a search, with the load of each replica. */
export class LayerState {
  readonly loads: Float64Array;
  readonly speeds: Float64Array;
  readonly rankLoads: Float64Array;
  readonly hosts: number[][];
  /** Load of each replica, parallel to `hosts`. */
  readonly parts: number[][];
  /** Experts on each rank. */
  readonly experts: number[][];
  readonly meanLoad: number;
  readonly #base: Float64Array;
  readonly #speed: Float64Array;
  readonly #part: Float64Array;

  constructor(layer: LayerMap, loads: Float64Array, speeds: Float64Array) {
    const rankCount = speeds.length;
    this.loads = loads;
    this.speeds = speeds;
    this.hosts = layer.hosts.map((ranks) => [...ranks]);
    this.parts = layer.shares.map((shares, expert) => shares.map((share) => share * (loads[expert] ?? 0)));
    this.rankLoads = new Float64Array(rankCount);
    this.experts = Array.from({ length: rankCount }, () => []);
    for (const [expert, ranks] of this.hosts.entries()) {
      for (const [index, rank] of ranks.entries()) {
        this.experts[rank]?.push(expert);
        this.rankLoads[rank] = (this.rankLoads[rank] ?? 0) + (this.parts[expert]?.[index] ?? 0);
      }
    }
    this.meanLoad = loads.reduce((sum, load) => sum + load, 0) / rankCount;
    this.#base = new Float64Array(rankCount);
    this.#speed = new Float64Array(rankCount);
    this.#part = new Float64Array(rankCount);
  }

  /** Time of the slowest rank, as the load that a rank with speed 1 processes in that time. */
  getPeak(): number {
    let peak = 0;
    for (let rank = 0; rank < this.rankLoads.length; rank += 1) {
      peak = Math.max(peak, (this.rankLoads[rank] ?? 0) / (this.speeds[rank] ?? 1));
    }
    return peak;
  }

  getPart(expert: number, rank: number): number {
    return this.parts[expert]?.[this.hosts[expert]?.indexOf(rank) ?? -1] ?? 0;
  }

  /** Splits the load of each replicated expert so that rank times are equal, by convex coordinate descent. */
  balance(): void {
    const tolerance = this.meanLoad * convergedShare;
    for (let sweep = 0; sweep < maxSweeps; sweep += 1) {
      let largestChange = 0;
      for (const [expert, ranks] of this.hosts.entries()) {
        if (ranks.length > 1) {
          largestChange = Math.max(largestChange, this.#rebalance(expert));
        }
      }
      if (largestChange <= tolerance) {
        return;
      }
    }
  }

  /** Adds a replica with no traffic. */
  addReplica(expert: number, rank: number): void {
    this.hosts[expert]?.push(rank);
    this.parts[expert]?.push(0);
    this.experts[rank]?.push(expert);
    this.#rebalance(expert);
  }

  /** Removes a replica; its load goes to the expert's other replicas, which must exist. */
  removeReplica(expert: number, rank: number): void {
    const ranks = this.hosts[expert] ?? [];
    const index = ranks.indexOf(rank);
    const parts = this.parts[expert] ?? [];
    const part = parts[index] ?? 0;
    this.rankLoads[rank] = (this.rankLoads[rank] ?? 0) - part;
    ranks.splice(index, 1);
    parts.splice(index, 1);
    const slots = this.experts[rank] ?? [];
    slots.splice(slots.indexOf(expert), 1);
    const first = ranks[0] ?? rank;
    parts[0] = (parts[0] ?? 0) + part;
    this.rankLoads[first] = (this.rankLoads[first] ?? 0) + part;
    this.#rebalance(expert);
  }

  /** Moves a replica together with its load. */
  relocate(expert: number, fromRank: number, toRank: number): void {
    const index = this.hosts[expert]?.indexOf(fromRank) ?? -1;
    const part = this.parts[expert]?.[index] ?? 0;
    (this.hosts[expert] ?? []).splice(index, 1, toRank);
    this.rankLoads[fromRank] = (this.rankLoads[fromRank] ?? 0) - part;
    this.rankLoads[toRank] = (this.rankLoads[toRank] ?? 0) + part;
    const slots = this.experts[fromRank] ?? [];
    slots.splice(slots.indexOf(expert), 1);
    this.experts[toRank]?.push(expert);
  }

  toMap(): LayerMap {
    const shares = this.parts.map((parts, expert) => {
      const total = parts.reduce((sum, part) => sum + part, 0);
      // An expert without load gets an equal split, so that its first tokens are spread over its replicas.
      return parts.map((part) =>
        total > 0 && (this.loads[expert] ?? 0) > 0 ? part / total : 1 / parts.length,
      );
    });
    return { hosts: this.hosts.map((ranks) => [...ranks]), shares };
  }

  #rebalance(expert: number): number {
    const ranks = this.hosts[expert] ?? [];
    const parts = this.parts[expert] ?? [];
    for (const [index, rank] of ranks.entries()) {
      this.#base[index] = (this.rankLoads[rank] ?? 0) - (parts[index] ?? 0);
      this.#speed[index] = this.speeds[rank] ?? 1;
    }
    divideByWaterFilling(this.loads[expert] ?? 0, this.#base, this.#speed, this.#part, ranks.length);
    let largestChange = 0;
    for (const [index, rank] of ranks.entries()) {
      const part = this.#part[index] ?? 0;
      largestChange = Math.max(largestChange, Math.abs(part - (parts[index] ?? 0)));
      parts[index] = part;
      this.rankLoads[rank] = (this.#base[index] ?? 0) + part;
    }
    return largestChange;
  }
}
