import type { Random } from "@clementinemux/common/Random";
import { ArrivalRates } from "./ArrivalRates";
import { ClassOrder } from "./ClassOrder";
import { FairQueue } from "./FairQueue";
import type { SlotReport } from "./SlotReport";
import type { SlotRequest } from "./SlotRequest";
import { SlotShare } from "./SlotShare";
import { estimateMaxFreed } from "./estimateMaxFreed";
import { lowerShare } from "./lowerShare";

/** Weight of the newest request in the mean time for which a request occupies a slot. */
const newestWeight = 0.05;
/** Most slots that one waiting request stands for. */
const maxSlotsPerWaiting = 50;

/**
 * Requests of one service that wait for a slot at one gateway: the order in which they get one, which of them cannot get
 * one in time, and which slots are this gateway's share. Priorities come first, then teams by cost, then the request that
 * needs a slot first. Has no I/O and takes the current time as a parameter.
 */
export class SlotQueue<Item extends SlotRequest> {
  readonly #share: SlotShare;
  readonly #arrivals = new ArrivalRates();
  #queue = new FairQueue<Item>(ClassOrder.Priority);
  readonly #items = new Set<Item>();
  /** Waiting requests by priority. */
  readonly #counts = new Map<number, number>();
  #ownInFlight = 0;
  #othersInFlight = 0;
  #meanSlotMs: number | null = null;

  constructor(random: Random) {
    this.#share = new SlotShare(random);
  }

  get size(): number {
    return this.#items.size;
  }

  /** Slots that this gateway occupies. */
  get inFlight(): number {
    return this.#ownInFlight;
  }

  /** The request that is served next; null without any. */
  get first(): Item | null {
    return this.#queue.first;
  }

  push(item: Item, nowMs: number): void {
    this.#arrivals.note(item.requestClass, nowMs);
    if (this.#items.size === 0) {
      // Starts again at virtual time 0, so that tags stay small enough to be exact; what is left between flows is small.
      this.#queue = new FairQueue<Item>(ClassOrder.Priority);
    }
    this.#items.add(item);
    this.#queue.push(item);
    this.#count(item, 1);
  }

  /** Removes a request that has left. Returns whether it was waiting. */
  remove(item: Item): boolean {
    const isWaiting = this.#items.delete(item);
    if (isWaiting) {
      this.#queue.remove(item);
      this.#count(item, -1);
    }
    return isWaiting;
  }

  /** Removes and returns the next request for which `canStart` holds. Only the next one of each priority is considered. */
  pop(canStart: (item: Item) => boolean): Item | null {
    const item = this.#queue.pop(canStart);
    if (item !== null) {
      this.#items.delete(item);
      this.#count(item, -1);
    }
    return item;
  }

  /** All waiting requests in the order in which they are served. */
  listInOrder(): readonly Item[] {
    return this.#queue.listInOrder();
  }

  /** Whether the share of this gateway lets a waiting request take one of the free slots that the gateway sees. */
  mayTake({ requestClass }: Item, freeSlots: number, nowMs: number): boolean {
    const waiting = Math.max(1, this.#counts.get(requestClass) ?? 0);
    return this.#share.mayTake({ priority: requestClass, freeSlots, waiting, nowMs });
  }

  noteTaken(): void {
    this.#ownInFlight += 1;
    this.#share.noteTaken();
  }

  /** A slot is free again. `slotMs` is the time for which a request ran in it; null when none ran. */
  noteFreed(slotMs: number | null): void {
    this.#ownInFlight -= 1;
    this.#share.noteFreed();
    if (slotMs !== null) {
      const mean = this.#meanSlotMs ?? slotMs;
      this.#meanSlotMs = mean + (slotMs - mean) * newestWeight;
    }
  }

  noteReport(othersInFlight: number, othersWaiting: ReadonlyMap<number, number>, nowMs: number): void {
    this.#othersInFlight = othersInFlight;
    const ownWaiting = this.countWaiting();
    const ownInFlight = this.#ownInFlight;
    const report: SlotReport = { nowMs, ownInFlight, othersInFlight, ownWaiting, othersWaiting };
    this.#share.noteReport(report, this.#countSlotsPerWaiting());
  }

  /** Waiting requests by priority. */
  countWaiting(): Map<number, number> {
    return new Map(this.#counts);
  }

  /** Time of the longest wait so far, in ms. */
  getOldestAgeMs(nowMs: number): number {
    return [...this.#items].reduce((max, { enteredAtMs }) => Math.max(max, nowMs - enteredAtMs), 0);
  }

  /** When the first request stops waiting; null without requests. */
  getNextDueMs(): number | null {
    return this.#items.size === 0 ? null : Math.min(...[...this.#items].map(({ dueAtMs }) => dueAtMs));
  }

  listExpired(nowMs: number): Item[] {
    return [...this.#items].filter(({ dueAtMs }) => dueAtMs <= nowMs);
  }

  /**
   * Requests that have more requests ahead of them than slots are likely to become free while they wait. Those ahead
   * that are hopeless themselves do not count.
   */
  listHopeless(freeSlots: number, nowMs: number): Item[] {
    const hopeless: Item[] = [];
    let ahead = 0;
    for (const item of this.listInOrder()) {
      const expected = this.#getFreeRate(item, nowMs) * Math.max(0, item.dueAtMs - nowMs);
      if (ahead + 1 > Math.max(0, freeSlots) + estimateMaxFreed(expected)) {
        hopeless.push(item);
      } else {
        ahead += 1;
      }
    }
    return hopeless;
  }

  /** Time until a request of the priority is likely to get a slot if it comes last in its priority, in ms. */
  estimateWaitMs(item: Item, freeSlots: number, nowMs: number): number {
    const order = this.listInOrder();
    const last = order.findLastIndex(({ requestClass }) => requestClass <= item.requestClass);
    const ahead = Math.max(0, last + 1 - Math.max(0, freeSlots));
    return (ahead + 1) / Math.max(1e-6, this.#getFreeRate(item, nowMs));
  }

  /** Slots that become free for the priority at this gateway, in slots per ms, without those that more urgent arrivals take. */
  #getFreeRate({ requestClass, costMs }: Item, nowMs: number): number {
    const slotMs = Math.max(1, this.#meanSlotMs ?? costMs);
    const own = this.#ownInFlight;
    const { same } = this.#share.getOthers(requestClass, nowMs);
    const waiting = Math.max(1, this.#counts.get(requestClass) ?? 0);
    const shared = ((own + this.#othersInFlight) * waiting) / (waiting + same);
    const rate = Math.max(own, shared) / slotMs;
    return Math.max(rate - this.#arrivals.getMoreUrgent(requestClass, nowMs), rate * lowerShare);
  }

  #count({ requestClass }: Item, change: number): void {
    const count = (this.#counts.get(requestClass) ?? 0) + change;
    if (count > 0) {
      this.#counts.set(requestClass, count);
    } else {
      this.#counts.delete(requestClass);
    }
  }

  /** A request that waits for a short time stands for the slots that its share of the arrivals would occupy. */
  #countSlotsPerWaiting(): number {
    const waits = [...this.#items].map(({ dueAtMs, enteredAtMs }) => Math.max(1, dueAtMs - enteredAtMs));
    const meanWaitMs = waits.reduce((sum, waitMs) => sum + waitMs, 0) / Math.max(1, waits.length);
    const slots = meanWaitMs === 0 ? 1 : (this.#meanSlotMs ?? 0) / meanWaitMs;
    return Math.min(maxSlotsPerWaiting, Math.max(1, slots));
  }
}
