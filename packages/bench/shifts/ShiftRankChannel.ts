import type { RankHoldState } from "@clementinemux/experts/hold/RankHoldState";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import type { RankFencingToken } from "@clementinemux/experts/hold/RankFencingToken";
import { getExpertsDigest } from "@clementinemux/experts/hold/getExpertsDigest";
import { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import type { RankInspection } from "@clementinemux/ranker/RankInspection";
import type { RankChannel } from "@clementinemux/ranker/RankChannel";
import type { ShiftGroup } from "./ShiftGroup";

/**
 * Calls to one rank of a simulated group. Rank 0 reports the counts of all ranks, which the leader would sum
 * anyway.
 */
export class ShiftRankChannel implements RankChannel {
  readonly #group: ShiftGroup;
  readonly #rank: number;
  readonly #getNowMs: () => number;

  constructor(group: ShiftGroup, rank: number, getNowMs: () => number) {
    this.#group = group;
    this.#rank = rank;
    this.#getNowMs = getNowMs;
  }

  get endpoints() {
    return { address: `rank-${this.#rank}`, rankerAddress: `ranker-${this.#rank}` };
  }

  inspect(_term: number, part: InspectionPart): Promise<RankInspection | null> {
    const state = this.#group.inspect(this.#rank, this.#getNowMs());
    if (state === null) {
      return Promise.resolve(null);
    }
    const experts =
      part === InspectionPart.Experts ? this.#group.hosting.map((ranks) => ranks[this.#rank] ?? []) : null;
    return Promise.resolve({
      group: "model",
      size: this.#group.ranks.length,
      state,
      pace: 1,
      counts: this.#rank === 0 ? [...this.#group.counts] : [],
      experts,
      preparedDigest: this.#getPreparedDigest(),
    });
  }

  inspectDirectly(): Promise<RankHoldState | null> {
    return Promise.resolve(this.#group.inspect(this.#rank, this.#getNowMs()));
  }

  readActiveExpertsDirectly(): Promise<readonly (readonly number[])[] | null> {
    return Promise.resolve(this.#group.hosting.map((ranks) => ranks[this.#rank] ?? []));
  }

  readPreparedDigestDirectly(): Promise<number | null> {
    return Promise.resolve(this.#getPreparedDigest());
  }

  order(_fence: RankFencingToken, order: HoldOrder): Promise<boolean | null> {
    return Promise.resolve(this.#group.order(order, this.#getNowMs()));
  }

  #getPreparedDigest(): number | null {
    const hosting = this.#group.preparedHosting;
    return hosting === null ? null : getExpertsDigest(hosting.map((ranks) => ranks[this.#rank] ?? []));
  }
}
