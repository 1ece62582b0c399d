import type { FencingTokens } from "./FencingTokens";
import type { RankHoldState } from "./RankHoldState";
import type { HoldOrder } from "./HoldOrder";
import { HoldOrderKind } from "./HoldOrderKind";
import type { DesiredMap } from "./DesiredMap";
import { PassTimer } from "./PassTimer";
import { RankFencingToken } from "./RankFencingToken";
import { RankAcknowledgements } from "./RankAcknowledgements";
import { applyAcceptedOrder } from "./applyAcceptedOrder";
import { chooseFencingOrders } from "./chooseFencingOrders";
import { chooseHoldOrders } from "./chooseHoldOrders";
import { isActivationInFlight } from "./isActivationInFlight";
import { isHarmlessIfLate } from "./isHarmlessIfLate";

interface ActivationIo {
  /** State of a rank; null when it cannot be read. */
  readonly inspect: (rank: number) => Promise<RankHoldState | null>;
  /** Sends an order. Resolves with whether the rank has accepted it; null when there was no response. */
  readonly order: (order: HoldOrder, fence: RankFencingToken) => Promise<boolean | null>;
  /** Fencing tokens of the orders that this process sends. */
  readonly tokens: FencingTokens;
  readonly nowMs: () => number;
  /**
   * Passes from the last started one to the one before which the group pauses; by default depends on the pass
   * time.
   */
  readonly leadSteps?: number;
  /** Version that no map has; disarming it has no effect. */
  readonly reservedVersion: number;
}

/** A confirmed order to prepare is not retried within this time, since copying the weights takes a while. */
const prepareRetryMs = 3000;
/**
 * Time for an order and one retry. A pass that is longer leaves enough time for both before the paused pass.
 */
const retriedOrderMs = 100;
/**
 * Passes from the last started one to the paused one. Four lose more by activating maps later than they save.
 */
const longLeadSteps = 2;
const shortLeadSteps = 1;
/** Rounds of orders in one call: hold, arm, go, and some more for orders that got no response. */
const maxRounds = 6;

/**
 * Activates maps on one group: sends the orders that follow from the state of its ranks, and reads the state
 * again.
 */
export class GroupActivation {
  readonly #io: ActivationIo;
  readonly #preparingSince = new Map<number, number>();
  readonly #acknowledgements = new RankAcknowledgements();
  readonly #tokens: RankFencingToken[] = [];
  readonly #passTimer = new PassTimer();
  #desiredMap: DesiredMap | null = null;

  constructor(io: ActivationIo) {
    this.#io = io;
  }

  get desiredMap(): DesiredMap | null {
    return this.#desiredMap;
  }

  /** Mean time of the recent passes; 0 while unknown. */
  get passMs(): number {
    return this.#passTimer.meanMs;
  }

  /** Time since the first rank accepted the order to prepare the desired map; null before that. */
  getPreparingMs(): number | null {
    const sinceMs = Math.min(...this.#preparingSince.values());
    return sinceMs === Infinity ? null : this.#io.nowMs() - sinceMs;
  }

  /**
   * Whether some of the known ranks are still copying weights for the desired map and none of the `size`
   * ranks is due an order: each of them has prepared the map or has accepted the order to prepare it.
   */
  isCopying(reportedRanks: readonly RankHoldState[], size: number): boolean {
    const desiredMap = this.#desiredMap;
    if (desiredMap === null || reportedRanks.some(({ epoch }) => epoch !== desiredMap.epoch)) {
      return false;
    }
    const prepared = reportedRanks.filter(({ preparedVersion }) => preparedVersion === desiredMap.version);
    const preparedRanks = new Set(prepared.map(({ rank }) => rank));
    const ranks = Array.from({ length: size }, (_, rank) => rank);
    const isSettled = ranks.every((rank) => preparedRanks.has(rank) || this.#isPreparing(rank));
    return isSettled && prepared.length < reportedRanks.length;
  }

  /** Whether a rank may still carry out an order to which it has not responded. */
  get hasUnacknowledgedOrders(): boolean {
    return this.#acknowledgements.hasUnacknowledged;
  }

  /**
   * Call this when another process may have sent orders of this leader and has not reported their results.
   */
  recordUnknownOrders(states: readonly RankHoldState[]): void {
    this.#acknowledgements.recordUnknown(states, this.#io.nowMs());
  }

  setDesiredMap(desiredMap: DesiredMap): void {
    this.#desiredMap = desiredMap;
    this.#preparingSince.clear();
  }

  clearDesiredMap(): void {
    this.#desiredMap = null;
  }

  /** A group with slow passes is waiting for its map; one pass less saves most of the remaining time. */
  get leadSteps(): number {
    const { leadSteps, nowMs } = this.#io;
    return (
      leadSteps ?? (this.#passTimer.getPassMs(nowMs()) > retriedOrderMs ? shortLeadSteps : longLeadSteps)
    );
  }

  /** Records the pass that was started last, to measure the pass time. */
  recordStep(states: readonly RankHoldState[]): void {
    this.#passTimer.recordStep(Math.max(0, ...states.map(({ step }) => step)), this.#io.nowMs());
  }

  /**
   * Whether all ranks have prepared the desired map and no activation is in flight, so the next order is a
   * hold.
   */
  isReady(states: readonly RankHoldState[]): boolean {
    const [order] = this.#chooseOrders(states);
    return !isActivationInFlight(states) && order?.kind === HoldOrderKind.Hold;
  }

  /** Continues from the given states. Resolves with whether the desired map is active on all ranks. */
  async advance(states: readonly RankHoldState[]): Promise<boolean> {
    let ranks = states;
    this.recordStep(states);
    for (let round = 0; round < maxRounds; round += 1) {
      const next = this.#chooseOrders(ranks);
      const fenceOrders = this.#chooseFencingOrders(ranks, next);
      const orders = fenceOrders.length > 0 ? fenceOrders : next;
      if (orders.length === 0) {
        break;
      }
      const responses = await Promise.all(orders.map((order) => this.#send(order)));
      if (fenceOrders.length > 0 || responses.includes(null) || responses.includes(false)) {
        const inspected = await Promise.all(ranks.map(({ rank }) => this.#io.inspect(rank)));
        const reportedRanks = inspected.filter((rank) => rank !== null);
        if (reportedRanks.length < ranks.length) {
          break;
        }
        ranks = reportedRanks;
      } else {
        ranks = ranks.map((rank) => applyAll(rank, orders));
      }
    }
    const desiredMap = this.#desiredMap;
    return desiredMap !== null && ranks.every(({ mapVersion }) => mapVersion >= desiredMap.version);
  }

  /**
   * Orders for the ranks of an activation in flight that have accepted no order of this leader yet, and for
   * those whose reported state is unreliable because an order got no response.
   */
  #chooseFencingOrders(ranks: readonly RankHoldState[], next: readonly HoldOrder[]): HoldOrder[] {
    const unsettled = ranks.filter((rank) => {
      const isUnfenced = !this.#acknowledgements.isFenced(rank) && !hasDesiredMap(rank, this.#desiredMap);
      return isUnfenced || this.#mayChange(rank, next);
    });
    return chooseFencingOrders(ranks, unsettled, this.#io.reservedVersion);
  }

  /**
   * Whether an order without a response may still change the map of a rank, or end its pause, after the next
   * orders. A next order to the same rank supersedes it by its higher fencing token. This does not cover a go
   * that is carried out while other ranks are being armed.
   */
  #mayChange(rank: RankHoldState, next: readonly HoldOrder[]): boolean {
    const isOrdered = next.some((order) => order.rank === rank.rank && order.kind !== HoldOrderKind.Go);
    const { reservedVersion, nowMs } = this.#io;
    return this.#acknowledgements.listUnacknowledged(rank, nowMs()).some((order) => {
      const isGo = rank.heldStep !== null && (order === null || order.kind === HoldOrderKind.Go);
      return (isGo || !isOrdered) && (order === null || !isHarmlessIfLate(order, rank, reservedVersion));
    });
  }

  #chooseOrders(ranks: readonly RankHoldState[]): HoldOrder[] {
    return chooseHoldOrders(ranks, this.#desiredMap, (rank) => this.#isPreparing(rank), this.leadSteps);
  }

  async #send(order: HoldOrder): Promise<boolean | null> {
    const fence = this.#getToken(order.rank);
    const isAccepted = await this.#io.order(order, fence);
    this.#acknowledgements.recordResponse(order, isAccepted, this.#io.nowMs());
    if (isAccepted === null) {
      fence.raise();
    }
    if (order.kind === HoldOrderKind.Prepare && isAccepted === true) {
      this.#preparingSince.set(order.rank, this.#io.nowMs());
    }
    return isAccepted;
  }

  #getToken(rank: number): RankFencingToken {
    this.#tokens[rank] ??= new RankFencingToken(this.#io.tokens);
    return this.#tokens[rank];
  }

  #isPreparing(rank: number): boolean {
    const sinceMs = this.#preparingSince.get(rank);
    return sinceMs !== undefined && this.#io.nowMs() - sinceMs < prepareRetryMs;
  }
}

/** A rank that has the desired map has carried out an order of this leader. */
function hasDesiredMap(
  { mapVersion, preparedVersion }: RankHoldState,
  desiredMap: DesiredMap | null,
): boolean {
  return desiredMap !== null && (mapVersion === desiredMap.version || preparedVersion === desiredMap.version);
}

function applyAll(rank: RankHoldState, orders: readonly HoldOrder[]): RankHoldState {
  return orders
    .filter((order) => order.rank === rank.rank)
    .reduce((state, order) => applyAcceptedOrder(state, order), rank);
}
