import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { AdmissionQueue } from "./AdmissionQueue";
import type { GatewayContext } from "./GatewayContext";
import type { Guard } from "./Guard";
import type { PermitWait } from "./PermitWait";
import { QueueEnd } from "./QueueEnd";
import type { QueuedRequest } from "./QueuedRequest";
import type { RoutedRequest } from "./RoutedRequest";
import type { SlotCheck } from "./SlotCheck";

interface SlotWaitOptions {
  readonly context: GatewayContext;
  readonly routed: RoutedRequest;
  readonly slots: SlotCheck;
  readonly permits: PermitWait;
  readonly guard: Guard;
  /** Whether the request was sent before, so that it takes no permit. */
  readonly isResent: () => boolean;
  /** Ends the request if it is suspected of crashing targets. */
  readonly rejectSuspect: () => boolean;
  readonly chooseTarget: () => TargetRecord | null;
  /** Sends the request to a target with a free slot. */
  readonly send: (target: TargetRecord) => void;
  /** Looks for a slot again, after the wait limit that the request had at first. */
  readonly admit: () => void;
  /** Rejects the request. `waitMs` is the time until a slot is likely to be free. */
  readonly reject: (waitMs: number) => void;
}

/** The wait of one request in the queue of its service. */
export class SlotWait {
  readonly #options: SlotWaitOptions;
  readonly #queue: AdmissionQueue;
  #queued: QueuedRequest | null = null;
  #target: TargetRecord | null = null;
  #candidates: readonly TargetRecord[] = [];
  #end: QueueEnd | null = null;
  #isEntering = false;
  #hasWaited = false;

  constructor(options: SlotWaitOptions) {
    this.#options = options;
    this.#queue = options.context.admissions.get(options.routed.service);
  }

  /** How the request left the queue; null if it was never in it, or still is. */
  get end(): QueueEnd | null {
    return this.#end;
  }

  /** Enters the queue; the request may be sent, rejected or asking for a permit when this returns. */
  enter(): void {
    this.#queued = this.#createQueued();
    this.#isEntering = !this.#hasWaited;
    try {
      this.#queue.enter(this.#queued);
    } finally {
      this.#isEntering = false;
      this.#hasWaited = true;
    }
  }

  /** The request was sent with a permit that it has asked for when its turn came. */
  noteSent(): void {
    if (this.#hasWaited && this.#end === null) {
      this.#leave(QueueEnd.Admitted);
    }
  }

  /** Leaves the queue, as the request has ended. */
  cancel(): void {
    if (this.#queued !== null) {
      this.#queue.leave(this.#queued);
      this.#leave(QueueEnd.Withdrawn);
    }
  }

  #createQueued(): QueuedRequest {
    const { context, routed, slots, guard } = this.#options;
    const { priority, team, arrivedAtMs } = routed;
    return {
      requestClass: priority,
      classWeight: 1,
      team: team ?? "",
      teamWeight: 1,
      costMs: Math.max(1, context.work.estimateWork(routed).totalMs),
      enteredAtMs: arrivedAtMs,
      dueAtMs: context.options.clock.monotonicMs() + slots.getWaitLeftMs(),
      getLoad: () => slots.load,
      prepare: (mayTake) => {
        let isPrepared = false;
        guard(() => {
          isPrepared = this.#prepare(mayTake);
        });
        return isPrepared;
      },
      checkSuspect: () => {
        guard(() => {
          this.#options.rejectSuspect();
        });
      },
      start: () => {
        guard(() => {
          this.#start();
        });
      },
      reject: (waitMs) => {
        guard(() => {
          this.#reject(waitMs);
        });
      },
      expire: (waitMs) => {
        guard(() => {
          this.#expire(waitMs);
        });
      },
    };
  }

  /** Finds a target with a free slot, or else targets that may have a permit. */
  #prepare(mayTake: (freeSlots: number) => boolean): boolean {
    const { slots, permits, isResent, chooseTarget } = this.#options;
    const freeSlots = slots.countFree();
    const mayStart = freeSlots > 0 && mayTake(freeSlots) && slots.takeProbe();
    this.#target = mayStart ? chooseTarget() : null;
    const isFull = freeSlots <= 0 || (mayStart && this.#target === null);
    const mayAsk = isFull && !isResent();
    this.#candidates = mayAsk ? permits.listCandidates(slots.getWaitLeftMs()) : [];
    return this.#target !== null || this.#candidates.length > 0;
  }

  #start(): void {
    const { slots, permits, send } = this.#options;
    if (this.#target === null) {
      // A request without a permit in time enters the queue again.
      this.#queued = null;
      permits.take(this.#candidates, slots.getWaitLeftMs());
    } else {
      this.#leave(QueueEnd.Admitted);
      send(this.#target);
    }
  }

  #expire(waitMs: number): void {
    if (this.#options.slots.getWaitLeftMs() > 0) {
      this.#queued = null;
      this.#options.admit();
    } else {
      this.#reject(waitMs);
    }
  }

  #reject(waitMs: number): void {
    this.#leave(this.#isEntering ? QueueEnd.RejectedOnArrival : QueueEnd.RejectedAfterWaiting);
    this.#options.reject(waitMs);
  }

  #leave(end: QueueEnd): void {
    this.#queued = null;
    this.#end = end;
    this.#options.context.metrics.noteQueueEnd(end, this.#options.routed.priority);
  }
}
