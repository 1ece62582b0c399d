import type { FenceNumbers } from "./FenceNumbers";
import type { HeldRank } from "./HeldRank";
import type { HoldOrder } from "./HoldOrder";
import { HoldOrderKind } from "./HoldOrderKind";
import type { MapGoal } from "./MapGoal";
import { PassTimer } from "./PassTimer";
import { RankFence } from "./RankFence";
import { RankAcknowledgements } from "./RankAcknowledgements";
import { applyAnsweredOrder } from "./applyAnsweredOrder";
import { chooseFenceOrders } from "./chooseFenceOrders";
import { chooseHoldOrders } from "./chooseHoldOrders";
import { isInFlight } from "./isInFlight";
import { isWithoutEffect } from "./isWithoutEffect";

interface ActivationIo {
  /** State of a rank; null when it cannot be had. */
  readonly inspect: (rank: number) => Promise<HeldRank | null>;
  /** Gives an order. Resolves with whether the rank has accepted it; null when there was no answer. */
  readonly order: (order: HoldOrder, fence: RankFence) => Promise<boolean | null>;
  /** Of the orders that this process gives. */
  readonly fences: FenceNumbers;
  readonly nowMs: () => number;
  /** Passes from the last one that was begun to the one that is held; chosen by the time of a pass if not given. */
  readonly leadSteps?: number;
  /** Version that no map has; disarming it changes nothing. */
  readonly reservedVersion: number;
}

/** A confirmed order to prepare is not repeated within this time, since copying takes a while. */
const prepareMs = 3000;
/** Time of an order that has to be given twice. Passes that are longer leave room for it in the pass before the held one. */
const repeatedOrderMs = 100;
/** Passes from the last one that was begun to the one that is held. Four cost more by later maps than they saved. */
const longLeadSteps = 2;
const shortLeadSteps = 1;
/** Rounds of orders between two inspections: hold, arm and go, and what orders without an answer add. */
const maxRounds = 6;

/** Brings maps into force on one group. Inspects all ranks, gives the orders that follow, and looks again. */
export class GroupActivation {
  readonly #io: ActivationIo;
  readonly #preparingSince = new Map<number, number>();
  readonly #acknowledgements = new RankAcknowledgements();
  readonly #fences: RankFence[] = [];
  readonly #passTimer = new PassTimer();
  #goal: MapGoal | null = null;

  constructor(io: ActivationIo) {
    this.#io = io;
  }

  get goal(): MapGoal | null {
    return this.#goal;
  }

  /** Mean time of the last passes, in ms; 0 while nothing is known. */
  get passMs(): number {
    return this.#passTimer.meanMs;
  }

  /** Time since the first rank confirmed to prepare the goal, in ms; null before that. */
  getPreparingMs(): number | null {
    const sinceMs = Math.min(...this.#preparingSince.values());
    return sinceMs === Infinity ? null : this.#io.nowMs() - sinceMs;
  }

  /**
   * Whether some of the known ranks still copy the goal, and no order is due to any of the `size` ranks: the others have
   * prepared it, or have confirmed that they copy it.
   */
  isCopying(known: readonly HeldRank[], size: number): boolean {
    const goal = this.#goal;
    if (goal === null || known.some(({ epoch }) => epoch !== goal.epoch)) {
      return false;
    }
    const prepared = known.filter(({ preparedVersion }) => preparedVersion === goal.version);
    const preparedRanks = new Set(prepared.map(({ rank }) => rank));
    const ranks = Array.from({ length: size }, (_, rank) => rank);
    const isSettled = ranks.every((rank) => preparedRanks.has(rank) || this.#isPreparing(rank));
    return isSettled && prepared.length < known.length;
  }

  /** Whether an order that was given may still be carried out. */
  get hasUnanswered(): boolean {
    return this.#acknowledgements.hasUnanswered;
  }

  /** To be called when another process may have given orders of this lead, and has not told how they ended. */
  noteUnknownOrders(states: readonly HeldRank[]): void {
    this.#acknowledgements.noteUnknown(states, this.#io.nowMs());
  }

  aim(goal: MapGoal): void {
    this.#goal = goal;
    this.#preparingSince.clear();
  }

  abandon(): void {
    this.#goal = null;
  }

  /** A group whose passes are slow waits for its map; one pass less saves it most of the time that is left. */
  get leadSteps(): number {
    const { leadSteps, nowMs } = this.#io;
    return (
      leadSteps ?? (this.#passTimer.getPassMs(nowMs()) > repeatedOrderMs ? shortLeadSteps : longLeadSteps)
    );
  }

  /** Takes the pass that was begun last, to time the passes. */
  note(states: readonly HeldRank[]): void {
    this.#passTimer.note(Math.max(0, ...states.map(({ step }) => step)), this.#io.nowMs());
  }

  /** Whether all ranks are prepared for the goal and nothing is in flight, so that a hold is the next order. */
  isReady(states: readonly HeldRank[]): boolean {
    const [order] = this.#chooseOrders(states);
    return !isInFlight(states) && order?.kind === HoldOrderKind.Hold;
  }

  /** Goes on from the present states. Resolves with whether the goal is in force on all ranks. */
  async advance(states: readonly HeldRank[]): Promise<boolean> {
    let ranks = states;
    this.note(states);
    for (let round = 0; round < maxRounds; round += 1) {
      const next = this.#chooseOrders(ranks);
      const fenceOrders = this.#chooseFenceOrders(ranks, next);
      const orders = fenceOrders.length > 0 ? fenceOrders : next;
      if (orders.length === 0) {
        break;
      }
      const answers = await Promise.all(orders.map((order) => this.#give(order)));
      if (fenceOrders.length > 0 || answers.includes(null) || answers.includes(false)) {
        const fresh = await Promise.all(ranks.map(({ rank }) => this.#io.inspect(rank)));
        const known = fresh.filter((rank) => rank !== null);
        if (known.length < ranks.length) {
          break;
        }
        ranks = known;
      } else {
        ranks = ranks.map((rank) => applyAll(rank, orders));
      }
    }
    const goal = this.#goal;
    return goal !== null && ranks.every(({ mapVersion }) => mapVersion >= goal.version);
  }

  /**
   * Orders for the ranks of an activation in flight that have had no order of this lead, and for those whose report may not
   * be relied on because of an order without an answer.
   */
  #chooseFenceOrders(ranks: readonly HeldRank[], next: readonly HoldOrder[]): HoldOrder[] {
    const unsettled = ranks.filter((rank) => {
      const isUnfenced = !this.#acknowledgements.isFenced(rank) && !isOfGoal(rank, this.#goal);
      return isUnfenced || this.#mayChange(rank, next);
    });
    return chooseFenceOrders(ranks, unsettled, this.#io.reservedVersion);
  }

  /**
   * Whether an order without an answer may still change the map of a rank, or end its hold, after the next orders. One of
   * these that the rank itself is given settles the former, but not a go that comes while other ranks are being armed.
   */
  #mayChange(rank: HeldRank, next: readonly HoldOrder[]): boolean {
    const isOrdered = next.some((order) => order.rank === rank.rank && order.kind !== HoldOrderKind.Go);
    const { reservedVersion, nowMs } = this.#io;
    return this.#acknowledgements.listUnanswered(rank, nowMs()).some((order) => {
      const isGo = rank.heldStep !== null && (order === null || order.kind === HoldOrderKind.Go);
      return (isGo || !isOrdered) && (order === null || !isWithoutEffect(order, rank, reservedVersion));
    });
  }

  #chooseOrders(ranks: readonly HeldRank[]): HoldOrder[] {
    return chooseHoldOrders(ranks, this.#goal, (rank) => this.#isPreparing(rank), this.leadSteps);
  }

  async #give(order: HoldOrder): Promise<boolean | null> {
    const fence = this.#getFence(order.rank);
    const answer = await this.#io.order(order, fence);
    this.#acknowledgements.note(order, answer, this.#io.nowMs());
    if (answer === null) {
      fence.raise();
    }
    if (order.kind === HoldOrderKind.Prepare && answer === true) {
      this.#preparingSince.set(order.rank, this.#io.nowMs());
    }
    return answer;
  }

  #getFence(rank: number): RankFence {
    this.#fences[rank] ??= new RankFence(this.#io.fences);
    return this.#fences[rank];
  }

  #isPreparing(rank: number): boolean {
    const sinceMs = this.#preparingSince.get(rank);
    return sinceMs !== undefined && this.#io.nowMs() - sinceMs < prepareMs;
  }
}

/** A rank that has the map of the goal has carried out an order of its lead. */
function isOfGoal({ mapVersion, preparedVersion }: HeldRank, goal: MapGoal | null): boolean {
  return goal !== null && (mapVersion === goal.version || preparedVersion === goal.version);
}

function applyAll(rank: HeldRank, orders: readonly HoldOrder[]): HeldRank {
  return orders
    .filter((order) => order.rank === rank.rank)
    .reduce((state, order) => applyAnsweredOrder(state, order), rank);
}
