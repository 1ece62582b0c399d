import type { RankHoldState } from "@clementinemux/experts/hold/RankHoldState";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import type { RankFencingToken } from "@clementinemux/experts/hold/RankFencingToken";
import { getExpertsDigest } from "@clementinemux/experts/hold/getExpertsDigest";
import type { StandInGroup } from "@clementinemux/experts/test/StandInGroup";
import { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import type { RankInspection } from "@clementinemux/ranker/RankInspection";
import type { RankChannel } from "@clementinemux/ranker/RankChannel";

/** Channel to a rank of a stand-in group, whose ranker can be silenced. */
export class StandInRankChannel implements RankChannel {
  readonly #group: StandInGroup;
  readonly #rank: number;
  isSilent = false;
  /** Whether queries for the experts get no response. */
  withholdsExperts = false;
  /** Whether inspections include the digest of the prepared experts. */
  reportsPrepared = true;
  counts: readonly number[] = [];
  directInspections = 0;
  /** Whether orders get no response and are not executed. */
  dropsOrders = false;
  /** Orders that were dropped, for tests that execute them late. */
  readonly droppedOrders: { readonly fence: number; readonly order: HoldOrder }[] = [];

  constructor(group: StandInGroup, rank: number) {
    this.#group = group;
    this.#rank = rank;
  }

  get endpoints() {
    return { address: `rank-${this.#rank}:1`, rankerAddress: `rank-${this.#rank}:2` };
  }

  inspect(_term: number, part: InspectionPart): Promise<RankInspection | null> {
    const state = this.#group.inspect(this.#rank);
    if (this.isSilent || state === null) {
      return Promise.resolve(null);
    }
    if (part === InspectionPart.Experts && this.withholdsExperts) {
      return new Promise(() => undefined);
    }
    const size = this.#group.ranks.length;
    const experts = part === InspectionPart.Experts ? this.#getExperts() : null;
    const preparedDigest = this.reportsPrepared ? this.#getPreparedDigest(state) : null;
    const { counts } = this;
    return Promise.resolve({ group: "g", size, state, pace: 1, counts, experts, preparedDigest });
  }

  inspectDirectly(): Promise<RankHoldState | null> {
    this.directInspections += 1;
    return Promise.resolve(this.#group.inspect(this.#rank));
  }

  readActiveExpertsDirectly(version: number): Promise<readonly (readonly number[])[] | null> {
    const isActive = this.#group.inspect(this.#rank)?.mapVersion === version;
    return Promise.resolve(isActive ? this.#getExperts() : null);
  }

  readPreparedDigestDirectly(): Promise<number | null> {
    const state = this.#group.inspect(this.#rank);
    return Promise.resolve(state === null ? null : this.#getPreparedDigest(state));
  }

  order(fence: RankFencingToken, order: HoldOrder): Promise<boolean | null> {
    if (this.dropsOrders) {
      this.droppedOrders.push({ fence: fence.value, order });
      return Promise.resolve(null);
    }
    return Promise.resolve(this.execute(fence.value, order));
  }

  execute(fence: number, order: HoldOrder): boolean | null {
    return this.#group.order(order, fence);
  }

  #getExperts(): readonly (readonly number[])[] | null {
    const hosting = this.#group.getHosting(this.#rank);
    return hosting?.map((ranks) => ranks[this.#rank] ?? []) ?? null;
  }

  #getPreparedDigest({ preparedVersion }: RankHoldState): number | null {
    const hosting = this.#group.ranks[this.#rank]?.hostings.get(preparedVersion ?? 0);
    return hosting === undefined ? null : getExpertsDigest(hosting.map((ranks) => ranks[this.#rank] ?? []));
  }
}
