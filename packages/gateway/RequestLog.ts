import { getOwn } from "@clementinemux/common/getOwn";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { RoutedRequest } from "./RoutedRequest";
import type { ServiceLoad } from "./ServiceLoad";
import type { EventRelay } from "./EventRelay";
import type { GatewayContext } from "./GatewayContext";
import type { QueueEnd } from "./QueueEnd";
import type { RequestOutcome } from "./RequestOutcome";
import { roundServiceLoad } from "./roundServiceLoad";

interface LoggedOutcome {
  readonly end: RequestOutcome;
  readonly status: number | null;
  readonly tried: ReadonlySet<string>;
  /** Given when it decided the outcome. */
  readonly serviceLoad: ServiceLoad | null;
  /** How the request left the queue of its service; null if it was not in it. */
  readonly queueEnd: QueueEnd | null;
}

/** Log lines and metrics of one request: each send, and its outcome. */
export class RequestLog {
  readonly #context: GatewayContext;
  readonly #routed: RoutedRequest;
  readonly #relay: EventRelay;
  /** Tells whether two lines are about the same request, as `getRequestKey` defines it. */
  readonly #key: string;
  /** Expected work when the request was first sent; null where it is not used. */
  #expectedMs: number | null = null;

  constructor(context: GatewayContext, request: RoutedRequest, relay: EventRelay, key: string) {
    this.#context = context;
    this.#routed = request;
    this.#relay = relay;
    this.#key = key;
  }

  /** Logs a send to a target with the load that decided it; the first send is attempt 1. */
  logSend(target: TargetRecord, attempt: number, serviceLoad: ServiceLoad | null): void {
    const { options, view, loads, metrics } = this.#context;
    const waitedMs = this.#getElapsedMs();
    if (attempt === 1) {
      metrics.slotWaits.observeMs(waitedMs);
    }
    options.logger.info(
      {
        id: this.#routed.caller.requestId,
        key: this.#key,
        target: target.id,
        attempt,
        load: loads.getLoad(target),
        pace: getOwn(view.state.slowdowns, target.id) ?? 1,
        resumeAfter: this.#relay.lastEventId,
        waitedMs: Math.round(waitedMs),
        ...this.#describeLoad(serviceLoad),
        ...this.#describeExpectedWork(target),
      },
      "request sent",
    );
  }

  /** Logs the outcome of the request. */
  logOutcome({ end, status, tried, serviceLoad, queueEnd }: LoggedOutcome): void {
    const { metrics, options, view } = this.#context;
    const { caller, route, service, priority, arrivedAtMs } = this.#routed;
    const { firstEventAtMs, ...summary } = this.#relay.summary;
    metrics.outcomes.add(end);
    if (firstEventAtMs !== null) {
      metrics.firstEvents.observeMs(firstEventAtMs - arrivedAtMs);
      metrics.longestPauses.observeMs(summary.longestGapMs);
    }
    options.logger.info(
      {
        id: caller.requestId,
        key: this.#key,
        route: route.name,
        service: service.name,
        end,
        status,
        targets: [...tried],
        ...summary,
        firstEventMs: firstEventAtMs === null ? null : Math.round(firstEventAtMs - arrivedAtMs),
        tookMs: Math.round(this.#getElapsedMs()),
        version: view.version,
        ...(queueEnd === null ? {} : { priority, queueEnd }),
        ...this.#describeWork(summary.events),
        ...(serviceLoad === null ? {} : this.#describeLoad(serviceLoad)),
      },
      "request ended",
    );
  }

  /** The load on which the choice of a slot was based, and the age of the gateway's state. */
  #describeLoad(serviceLoad: ServiceLoad | null): object {
    const { view, options } = this.#context;
    const viewAgeMs = Math.round(view.getAgeMs(options.leaseClock.monotonicMs()));
    return { ...(serviceLoad === null ? {} : roundServiceLoad(serviceLoad)), viewAgeMs };
  }

  /** The work on which the choice of the target was based; nothing where it is not used. */
  #describeExpectedWork(target: TargetRecord): object {
    const { work } = this.#context;
    const { service } = this.#routed;
    if (!work.isInForce(service.name)) {
      return {};
    }
    this.#expectedMs ??= work.estimateWork(this.#routed).totalMs;
    const targetWorkMs = Math.round(work.getLoad(target.id, service).leftMs);
    return { expectedWorkMs: Math.round(this.#expectedMs), targetWorkMs };
  }

  /** Expected and actual work of a request that was sent. */
  #describeWork(events: number): object {
    if (this.#expectedMs === null) {
      return {};
    }
    const { totalMs } = this.#context.work.measureWork(this.#routed, events, this.#getElapsedMs());
    return { expectedWorkMs: Math.round(this.#expectedMs), workMs: Math.round(totalMs) };
  }

  #getElapsedMs(): number {
    return this.#context.options.clock.monotonicMs() - this.#routed.arrivedAtMs;
  }
}
