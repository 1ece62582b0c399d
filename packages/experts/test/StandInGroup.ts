import { isDeepStrictEqual } from "node:util";
import type { Random } from "@clementinemux/common/Random";
import type { RankHoldState } from "@clementinemux/experts/hold/RankHoldState";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import type { RankHosting } from "@clementinemux/experts/hold/RankHosting";

interface StandInGroupOptions {
  readonly ranks: number;
  readonly random: Random;
  /** Share of orders that get no response and are carried out late or never. */
  readonly lateShare: number;
  /** Time of a pass; 60 ms by default. */
  readonly passMs?: number;
}

type MutableRank = { -readonly [Key in keyof RankHoldState]: RankHoldState[Key] } & {
  highestVersion: number;
  /** Highest fencing token of an accepted order; orders with a lower token are rejected. */
  highestToken: number;
  preparing: { version: number; readyAtMs: number } | null;
  /** Placements of the accepted maps, by version. */
  hostings: Map<number, RankHosting>;
};

const copyMs = 200;
const defaultPassMs = 60;

/**
 * Stand-in for a rank group that pauses at a step barrier; passes follow the clock, and orders can be late.
 */
export class StandInGroup {
  readonly ranks: MutableRank[];
  /** Passes that started while the ranks had different maps, by version or by content. */
  mixedPasses = 0;
  /** Mixed passes in which all ranks had the same version. */
  mixedPassesOfOneVersion = 0;
  /** Passes that did not start because the group was paused. */
  pausedPasses = 0;
  nowMs = 0;
  isIdle = false;
  readonly #options: StandInGroupOptions;
  #late: { readonly order: HoldOrder; readonly token: number; readonly dueMs: number }[] = [];
  readonly #passMs: number;
  #nextPassMs: number;

  constructor(options: StandInGroupOptions) {
    this.#options = options;
    this.#passMs = options.passMs ?? defaultPassMs;
    this.#nextPassMs = this.#passMs;
    this.ranks = Array.from({ length: options.ranks }, (_, rank) => createRank(rank, 1));
  }

  /** Advances the time, and starts the passes and carries out the late orders that are due. */
  advance(ms: number): void {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.nowMs += 5;
      for (const { order, token } of this.#late.filter(({ dueMs }) => dueMs <= this.nowMs)) {
        this.#execute(order, token);
      }
      this.#late = this.#late.filter(({ dueMs }) => dueMs > this.nowMs);
      this.#finishCopies();
      if (!this.isIdle && this.nowMs >= this.#nextPassMs) {
        this.#nextPassMs = this.nowMs + this.#passMs;
        this.#startPass();
      }
    }
  }

  /** Resets the state of all ranks, as a group recovery after the loss of a rank does. */
  recover(): void {
    const epoch = (this.ranks[0]?.epoch ?? 0) + 1;
    this.ranks.forEach((_, rank) => {
      this.ranks[rank] = createRank(rank, epoch);
    });
  }

  inspect(rank: number): RankHoldState | null {
    const state = this.ranks[rank];
    return state === undefined ? null : { ...state };
  }

  /** Placement that is active on a rank; null for the initial one. */
  getHosting(rank: number): RankHosting | null {
    const state = this.ranks[rank];
    return state?.hostings.get(state.mapVersion) ?? null;
  }

  /** Sends an order; null when there is no response, whether or not the order is carried out later. */
  order(order: HoldOrder, token = 0): boolean | null {
    const { random, lateShare } = this.#options;
    if (random() < lateShare) {
      if (random() < 0.8) {
        this.#late.push({ order, token, dueMs: this.nowMs + 2000 + random() * 10_000 });
      }
      return null;
    }
    return this.#execute(order, token);
  }

  #startPass(): void {
    const step = (this.ranks[0]?.step ?? 0) + 1;
    if (this.ranks.some(({ heldStep }) => heldStep === step)) {
      this.pausedPasses += 1;
      return;
    }
    for (const rank of this.ranks) {
      rank.step = step;
      if (rank.armed?.step === step) {
        rank.mapVersion = rank.armed.version;
        rank.armed = null;
      }
    }
    this.#countMixture();
  }

  #countMixture(): void {
    const [first] = this.ranks;
    const hasOneVersion = this.ranks.every(({ mapVersion }) => mapVersion === first?.mapVersion);
    const [hosting] = this.ranks.map(({ rank }) => this.getHosting(rank));
    if (!hasOneVersion) {
      this.mixedPasses += 1;
    } else if (!this.ranks.every(({ rank }) => isDeepStrictEqual(this.getHosting(rank), hosting))) {
      this.mixedPasses += 1;
      this.mixedPassesOfOneVersion += 1;
    }
  }

  #finishCopies(): void {
    for (const rank of this.ranks) {
      if (rank.preparing !== null && rank.preparing.readyAtMs <= this.nowMs) {
        rank.preparedVersion = rank.preparing.version;
        rank.preparing = null;
      }
    }
  }

  #execute(order: HoldOrder, token: number): boolean {
    const rank = this.ranks[order.rank];
    if (rank?.epoch !== order.epoch || token < rank.highestToken) {
      return false;
    }
    const isAccepted = this.#apply(rank, order);
    // A rejected order does not change the fencing token, as on ranks of the platform.
    rank.highestToken = isAccepted ? token : rank.highestToken;
    return isAccepted;
  }

  #apply(rank: MutableRank, order: HoldOrder): boolean {
    switch (order.kind) {
      case HoldOrderKind.Prepare:
        if (order.version <= rank.highestVersion || rank.armed !== null) {
          return isAlreadyAccepted(rank, order);
        }
        rank.highestVersion = order.version;
        rank.hostings.set(order.version, order.hosting);
        rank.preparedVersion = null;
        rank.preparing = { version: order.version, readyAtMs: this.nowMs + copyMs };
        return true;
      case HoldOrderKind.Hold:
        if (order.step <= rank.step || (rank.heldStep !== null && rank.heldStep !== order.step)) {
          return false;
        }
        rank.heldStep = order.step;
        return true;
      case HoldOrderKind.Arm:
        if (rank.preparedVersion !== order.version || order.step <= rank.step) {
          return false;
        }
        rank.armed = { version: order.version, step: order.step };
        return true;
      case HoldOrderKind.Disarm:
        if (rank.mapVersion === order.version) {
          return false;
        }
        rank.armed = rank.armed?.version === order.version ? null : rank.armed;
        return true;
      case HoldOrderKind.Go:
        rank.heldStep = rank.heldStep === order.step ? null : rank.heldStep;
        return true;
    }
  }
}

/** Whether the map of an order to prepare is the one that the rank is copying or has prepared. */
function isAlreadyAccepted(
  { preparing, preparedVersion, hostings }: MutableRank,
  { version, hosting }: { readonly version: number; readonly hosting: RankHosting },
): boolean {
  const isKnown = preparing?.version === version || preparedVersion === version;
  return isKnown && isDeepStrictEqual(hostings.get(version), hosting);
}

function createRank(rank: number, epoch: number): MutableRank {
  return {
    rank,
    epoch,
    isOpen: true,
    step: 0,
    mapVersion: 0,
    preparedVersion: null,
    armed: null,
    heldStep: null,
    highestVersion: 0,
    highestToken: 0,
    preparing: null,
    hostings: new Map(),
  };
}
