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

/** Bounds the memory of the queues. In a healthy fleet the deadline check rejects requests long before. */
const maxQueuedCount = 4096;
/** Basis of Retry-After for refusals without a backlog, such as a model without targets. */
const defaultWaitMs = 1000;

/** Decides on arrival whether a request is admitted. A request rejected here has not run. */
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
    if (this.#router.findServingTargets(state).length === 0) {
      return { reason: RefusalReason.NoTarget, waitMs: defaultWaitMs };
    }
    const waitMs = this.predictWaitMs(state, queue, nowMs);
    if (nowMs + waitMs + this.getConservativeServiceMs(state) > request.deadlineAtMs) {
      return { reason: RefusalReason.DeadlineUnreachable, waitMs };
    }
    if (queue.size >= maxQueuedCount) {
      return { reason: RefusalReason.QueueFull, waitMs };
    }
    return this.limits.take(request.team, settings, chargedTokenCount, nowMs);
  }

  /** Predicted time until the request is dispatched. */
  predictWaitMs(state: RequestState, queue: FairQueue<RequestState>, nowMs: number): number {
    if (queue.size === 0 && this.#router.hasCapacity(state, nowMs)) {
      return 0;
    }
    // All slots are in use: the first becomes free after about one service time divided by the number of
    // slots.
    const slotCount = Math.max(1, this.getSlotCount(state));
    return queue.predictWaitMs(state, slotCount) + state.costMs / slotCount;
  }

  /**
   * Requests of this entry in flight on the targets of the request: the concurrency with which its queue
   * drains.
   */
  getSlotCount(state: RequestState): number {
    return this.#router.findServingTargets(state).reduce((sum, { inFlightCount }) => sum + inFlightCount, 0);
  }

  /**
   * Predicted time from dispatch to the end of the request, without queueing, with a margin for long
   * responses.
   */
  getConservativeServiceMs(state: RequestState): number {
    return this.#times.getConservativeServiceMs(state.model, state.request);
  }
}
