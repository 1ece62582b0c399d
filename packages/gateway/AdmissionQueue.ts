import type { Clock } from "@clementinemux/common/Clock";
import type { Random } from "@clementinemux/common/Random";
import type { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import { SlotQueue } from "@clementinemux/policy/admission/SlotQueue";
import { GatewayHandler } from "./GatewayHandler";
import type { GroupRecovery } from "./GroupRecovery";
import type { QueuedRequest } from "./QueuedRequest";
import { countFreeSlots } from "./countFreeSlots";
import { hasLimitedTargetsOnly } from "./hasLimitedTargetsOnly";

interface AdmissionQueueOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly errors: ErrorBoundary<GatewayHandler>;
  /** Whether no permit can be had for the moment, so that requests for limited targets wait. */
  readonly isPermitBlocked: () => boolean;
  /** Whether all targets of the service are in evacuated failure domains, so that waiting is of no use. */
  readonly isEvacuated: () => boolean;
  /** Null for services without rank groups. */
  readonly getRecovery: () => GroupRecovery | null;
}

/** Interval at which requests for limited targets ask again while no coordinator grants permits. */
const permitCheckMs = 50;
/** Shortest time until the next look for a slot for a probe: one that is due may have none. */
const probeCheckMs = 20;

/**
 * The queue of one service: offers free slots to the requests in their order, and removes those that cannot get one in
 * time. It acts when a request enters, when it is woken by an event that may have freed a slot, and at the times at which
 * a request expires, a pause of all targets ends, or a recovering group may be probed.
 */
export class AdmissionQueue {
  readonly #options: AdmissionQueueOptions;
  readonly #queue: SlotQueue<QueuedRequest>;
  #timer: NodeJS.Timeout | null = null;
  #isWoken = false;
  #isServing = false;

  constructor(options: AdmissionQueueOptions) {
    this.#options = options;
    this.#queue = new SlotQueue(options.random);
  }

  get size(): number {
    return this.#queue.size;
  }

  /** Whether no request waits, and none is at a target. */
  get isIdle(): boolean {
    return this.#queue.size === 0 && this.#queue.inFlight === 0;
  }

  /** Time of the longest wait so far, in ms. */
  get oldestAgeMs(): number {
    return this.#queue.getOldestAgeMs(this.#now());
  }

  /** Waiting requests by priority. */
  countWaiting(): Map<number, number> {
    return this.#queue.countWaiting();
  }

  /** Adds a request, and starts or rejects it at once if possible. */
  enter(request: QueuedRequest): void {
    this.#queue.push(request, this.#now());
    this.#serve();
  }

  /** Removes a request that has ended. */
  leave(request: QueuedRequest): void {
    if (this.#queue.remove(request)) {
      this.wake();
    }
  }

  /** Offers slots to the requests soon; several calls in a row have the effect of one. */
  wake(): void {
    if (this.#isWoken || this.#queue.size === 0) {
      return;
    }
    this.#isWoken = true;
    setImmediate(() => {
      this.#isWoken = false;
      this.#options.errors.run(GatewayHandler.Queue, () => {
        this.#serve();
      });
    });
  }

  /** Ends the requests that are suspected of crashing targets. */
  checkSuspects(): void {
    for (const request of this.#queue.listInOrder()) {
      request.checkSuspect();
    }
  }

  /** A request was sent to a target. */
  noteTaken(): void {
    this.#queue.noteTaken();
  }

  /** An attempt has ended. `slotMs` is the time for which it ran; null when the target has not run it. */
  noteFreed(slotMs: number | null): void {
    this.#queue.noteFreed(slotMs);
    this.wake();
  }

  /** The state of the other gateways has arrived. */
  noteReport(othersInFlight: number, othersWaiting: ReadonlyMap<number, number>): void {
    this.#queue.noteReport(othersInFlight, othersWaiting, this.#now());
    this.wake();
  }

  close(): void {
    clearTimeout(this.#timer ?? undefined);
  }

  #serve(): void {
    if (this.#isServing) {
      this.wake();
      return;
    }
    this.#isServing = true;
    try {
      this.#startAll();
      const waiting = this.#queue.size;
      this.#expireAll();
      this.#rejectAll();
      if (this.#queue.size < waiting) {
        // The request that is first now has not been offered a slot yet.
        this.wake();
      }
    } finally {
      this.#isServing = false;
      this.#schedule();
    }
  }

  #startAll(): void {
    for (;;) {
      const request = this.#queue.pop((item) =>
        item.prepare((freeSlots) => this.#queue.mayTake(item, freeSlots, this.#now())),
      );
      if (request !== null) {
        request.start();
      } else if (!this.#rejectBlocked()) {
        return;
      }
    }
  }

  /** Rejects the first request if no target can take it while it waits. Returns whether it did. */
  #rejectBlocked(): boolean {
    const first = this.#queue.first;
    const load = first?.getLoad() ?? null;
    if (first === null || load === null) {
      return false;
    }
    const { isPermitBlocked, isEvacuated } = this.#options;
    const isRefused = isEvacuated() || (hasLimitedTargetsOnly(load) && !isPermitBlocked());
    const isPaused = load.pauseMs !== null && first.dueAtMs - this.#now() <= load.pauseMs;
    if ((isRefused || isPaused) && this.#queue.remove(first)) {
      first.reject(this.#estimateWaitMs(first));
      return true;
    }
    return false;
  }

  #expireAll(): void {
    for (const request of this.#queue.listExpired(this.#now())) {
      if (this.#queue.remove(request)) {
        request.expire(this.#estimateWaitMs(request));
      }
    }
  }

  /** Rejects the requests that cannot get a slot in time. Slots of a recovering group become free all at once, so its requests wait. */
  #rejectAll(): void {
    const load = this.#queue.first?.getLoad() ?? null;
    const isRecovering = this.#options.getRecovery()?.isRecovering === true;
    if (load === null || load.targets === 0 || isRecovering) {
      return;
    }
    for (const request of this.#queue.listHopeless(countFreeSlots(load), this.#now())) {
      if (this.#queue.remove(request)) {
        request.reject(this.#estimateWaitMs(request));
      }
    }
  }

  #estimateWaitMs(request: QueuedRequest): number {
    const load = request.getLoad() ?? this.#queue.first?.getLoad() ?? null;
    const freeSlots = load === null ? 0 : countFreeSlots(load);
    return this.#queue.estimateWaitMs(request, freeSlots, this.#now());
  }

  #schedule(): void {
    clearTimeout(this.#timer ?? undefined);
    const first = this.#queue.first;
    if (first === null) {
      return;
    }
    const nowMs = this.#now();
    const dueInMs = (this.#queue.getNextDueMs() ?? Infinity) - nowMs;
    const pauseMs = first.getLoad()?.pauseMs ?? Infinity;
    const probeInMs = Math.max(probeCheckMs, this.#options.getRecovery()?.getProbeInMs(nowMs) ?? Infinity);
    const hasLimited = (first.getLoad()?.limited ?? 0) > 0;
    const permitMs = hasLimited && this.#options.isPermitBlocked() ? permitCheckMs : Infinity;
    const inMs = Math.max(1, Math.ceil(Math.min(dueInMs, pauseMs, probeInMs, permitMs)));
    this.#timer = setTimeout(() => {
      this.wake();
    }, inMs);
  }

  #now(): number {
    return this.#options.clock.monotonicMs();
  }
}
