import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { Arrival } from "./Arrival";
import type { Crowding } from "./Crowding";
import type { EventRelay } from "./EventRelay";
import type { GatewayContext } from "./GatewayContext";
import type { RequestEnd } from "./RequestEnd";
import { roundCrowding } from "./roundCrowding";

/** Log lines and metrics of one request: each send, and its outcome. */
export class RequestLog {
  readonly #context: GatewayContext;
  readonly #routed: Arrival;
  readonly #relay: EventRelay;

  constructor(context: GatewayContext, request: Arrival, relay: EventRelay) {
    this.#context = context;
    this.#routed = request;
    this.#relay = relay;
  }

  /** Logs a send to a target with the load that decided it; the first send is attempt 1. */
  noteSend(target: TargetRecord, attempt: number, serviceLoad: Crowding | null): void {
    const { options, view, loads, metrics } = this.#context;
    const waitedMs = this.#getElapsedMs();
    if (attempt === 1) {
      metrics.placeWaits.observeMs(waitedMs);
    }
    options.logger.info(
      {
        id: this.#routed.caller.requestId,
        target: target.id,
        attempt,
        load: loads.getLoad(target),
        pace: view.state.slowdowns[target.id] ?? 1,
        resumeAfter: this.#relay.lastEventId,
        waitedMs: Math.round(waitedMs),
        ...this.#describeLoad(serviceLoad),
      },
      "request sent",
    );
  }

  /** Logs the outcome of the request; `serviceLoad` is given when it decided the outcome. */
  noteEnd(
    end: RequestEnd,
    status: number | null,
    tried: ReadonlySet<string>,
    serviceLoad: Crowding | null,
  ): void {
    const { metrics, options, view } = this.#context;
    const { caller, route, service, arrivedAtMs } = this.#routed;
    const { firstEventAtMs, ...summary } = this.#relay.summary;
    metrics.ends.add(end);
    if (firstEventAtMs !== null) {
      metrics.firstEvents.observeMs(firstEventAtMs - arrivedAtMs);
      metrics.longestPauses.observeMs(summary.longestGapMs);
    }
    options.logger.info(
      {
        id: caller.requestId,
        route: route.name,
        service: service.name,
        end,
        status,
        targets: [...tried],
        ...summary,
        firstEventMs: firstEventAtMs === null ? null : Math.round(firstEventAtMs - arrivedAtMs),
        tookMs: Math.round(this.#getElapsedMs()),
        version: view.version,
        ...(serviceLoad === null ? {} : this.#describeLoad(serviceLoad)),
      },
      "request ended",
    );
  }

  /** The load on which the choice of a slot was based, and the age of the gateway's state. */
  #describeLoad(serviceLoad: Crowding | null): object {
    const { view, options } = this.#context;
    const viewAgeMs = Math.round(view.getAgeMs(options.leaseClock.monotonicMs()));
    return { ...(serviceLoad === null ? {} : roundCrowding(serviceLoad)), viewAgeMs };
  }

  #getElapsedMs(): number {
    return this.#context.options.clock.monotonicMs() - this.#routed.arrivedAtMs;
  }
}
