import { RefusalReason } from "@clementinemux/common/RefusalReason";
import type { RequestState } from "../RequestState";
import type { Router } from "../routing/Router";
import type { FairQueue } from "./FairQueue";
import type { ServiceTimes } from "./ServiceTimes";
import type { TeamLimits } from "./TeamLimits";

interface AdmissionRefusal {
  readonly reason: RefusalReason;
  readonly waitMs: number;
}

/** Bounds the memory of the queues; the deadline check refuses long before in a working fleet. */
const maxQueuedCount = 4096;
/** Retry-After when the refusal has no backlog behind it, such as a model without targets. */
const defaultWaitMs = 1000;

/** Decides at arrival whether a request is taken. Whatever is refused here was never run. */
export class Admission {
  readonly limits: TeamLimits;
  readonly #router: Router;
  readonly #times: ServiceTimes;

  constructor(limits: TeamLimits, router: Router, times: ServiceTimes) {
    this.limits = limits;
    this.#router = router;
    this.#times = times;
  }

  check(state: RequestState, queue: FairQueue<RequestState>, nowMs: number): AdmissionRefusal | null {
    const { request, settings, chargedTokenCount } = state;
    if (request.deadlineAtMs <= nowMs) {
      return { reason: RefusalReason.DeadlinePassed, waitMs: defaultWaitMs };
    }
    if (this.#router.findServing(state).length === 0) {
      return { reason: RefusalReason.NoTarget, waitMs: defaultWaitMs };
    }
    const waitMs = this.predictWaitMs(state, queue, nowMs);
    if (nowMs + waitMs + this.getServiceMs(state) > request.deadlineAtMs) {
      return { reason: RefusalReason.DeadlineUnreachable, waitMs };
    }
    if (queue.size >= maxQueuedCount) {
      return { reason: RefusalReason.QueueFull, waitMs };
    }
    return this.limits.take(request.team, settings, chargedTokenCount, nowMs);
  }

  /** Predicted time until the request would be dispatched. */
  predictWaitMs(state: RequestState, queue: FairQueue<RequestState>, nowMs: number): number {
    if (queue.size === 0 && this.#router.hasRoom(state, nowMs)) {
      return 0;
    }
    // Beside the queue there is the work that holds the slots: the next one ends after about a share of a service time.
    const slotCount = Math.max(1, this.getSlotCount(state));
    return queue.predictWaitMs(state, slotCount) + state.costMs / slotCount;
  }

  /** Requests of this entry that run at once on the targets of the request: what a backlog drains with. */
  getSlotCount(state: RequestState): number {
    return this.#router.findServing(state).reduce((sum, { inFlightCount }) => sum + inFlightCount, 0);
  }

  /** Predicted time from dispatch to the end, without waiting, with a margin for long answers. */
  getServiceMs(state: RequestState): number {
    return this.#times.getSafeServiceMs(state.model, state.request);
  }
}
