/**
 * Mutable placement of one layer set during a search by single changes. The replicas of an expert share its
 * load equally.
 */
export class BalancedLayer {
  readonly rankLoads: Float64Array;
  readonly #ranks: number[][];
  readonly #hosts: number[][];
  readonly #loads: Float64Array;
  readonly #present: readonly ReadonlySet<number>[];
  readonly #newCounts: number[];
  readonly #slowdowns: readonly number[];
  readonly #meanLoad: number;

  /** `slowdowns` are by rank, 1 for a healthy one; the rank loads are multiplied by them. */
  constructor(present: readonly (readonly number[])[], loads: Float64Array, slowdowns: readonly number[]) {
    this.#loads = loads;
    this.#meanLoad = loads.reduce((sum, load) => sum + load, 0) / present.length;
    this.#slowdowns = slowdowns;
    this.#ranks = present.map((experts) => [...experts]);
    this.#present = present.map((experts) => new Set(experts));
    this.#newCounts = present.map(() => 0);
    this.#hosts = Array.from(loads, () => []);
    this.rankLoads = new Float64Array(present.length);
    for (const [rank, experts] of present.entries()) {
      for (const expert of experts) {
        this.#hosts[expert]?.push(rank);
      }
    }
    for (const [expert, hosts] of this.#hosts.entries()) {
      this.#spread(expert, hosts, 1);
    }
  }

  get rankCount(): number {
    return this.#ranks.length;
  }

  getExperts(rank: number): readonly number[] {
    return this.#ranks[rank] ?? [];
  }

  getHosts(expert: number): readonly number[] {
    return this.#hosts[expert] ?? [];
  }

  getLoad(expert: number): number {
    return this.#loads[expert] ?? 0;
  }

  getSlowdown(rank: number): number {
    return this.#slowdowns[rank] ?? 1;
  }

  getNewCount(rank: number): number {
    return this.#newCounts[rank] ?? 0;
  }

  countNew(): number {
    return this.#newCounts.reduce((sum, count) => sum + count, 0);
  }

  /** Whether the rank lacks the expert's weights at present and would have to copy them. */
  isNew(expert: number, rank: number): boolean {
    return this.#present[rank]?.has(expert) !== true;
  }

  getPeak(): number {
    return this.rankLoads[this.getHottest()] ?? 0;
  }

  /** Load of the most loaded rank divided by the mean, which is that of equally loaded healthy ranks; 1 is balanced. */
  get skew(): number {
    return this.#meanLoad > 0 ? this.getPeak() / this.#meanLoad : 1;
  }

  getHottest(): number {
    let hottest = 0;
    for (let rank = 1; rank < this.rankLoads.length; rank += 1) {
      if ((this.rankLoads[rank] ?? 0) > (this.rankLoads[hottest] ?? 0)) {
        hottest = rank;
      }
    }
    return hottest;
  }

  add(expert: number, rank: number): void {
    this.#spread(expert, this.getHosts(expert), -1);
    this.#hosts[expert]?.push(rank);
    this.#ranks[rank]?.push(expert);
    this.#spread(expert, this.getHosts(expert), 1);
    this.#newCounts[rank] = this.getNewCount(rank) + (this.isNew(expert, rank) ? 1 : 0);
  }

  remove(expert: number, rank: number): void {
    this.#spread(expert, this.getHosts(expert), -1);
    this.#hosts[expert] = this.getHosts(expert).filter((host) => host !== rank);
    this.#ranks[rank] = this.getExperts(rank).filter((hosted) => hosted !== expert);
    this.#spread(expert, this.getHosts(expert), 1);
    this.#newCounts[rank] = this.getNewCount(rank) - (this.isNew(expert, rank) ? 1 : 0);
  }

  toHosting(): readonly (readonly number[])[] {
    return this.#ranks.map((experts) => [...experts].sort((left, right) => left - right));
  }

  #spread(expert: number, hosts: readonly number[], sign: number): void {
    const part = (sign * this.getLoad(expert)) / Math.max(1, hosts.length);
    for (const host of hosts) {
      this.rankLoads[host] = (this.rankLoads[host] ?? 0) + part * this.getSlowdown(host);
    }
  }
}
