import { msPerReportedWork } from "@clementinemux/registry/msPerReportedWork";
import { getOwn } from "@clementinemux/common/getOwn";
import { CostModel } from "@clementinemux/cost/CostModel";
import type { CostRequest } from "@clementinemux/cost/CostRequest";
import { MeanWork } from "@clementinemux/cost/MeanWork";
import type { RequestWork } from "@clementinemux/cost/RequestWork";
import type { TargetLoad } from "@clementinemux/cost/TargetLoad";
import { WorkLedger } from "@clementinemux/cost/WorkLedger";
import type { EntryRecord } from "@clementinemux/registry/EntryRecord";
import type { RoutedService } from "@clementinemux/routes/RoutedService";
import type { FleetView } from "./FleetView";
import type { GatewayMetrics } from "./GatewayMetrics";
import type { GatewayOptions } from "./GatewayOptions";
import type { RoutedRequest } from "./RoutedRequest";
import { RunningRequest } from "./RunningRequest";
import { TargetChoiceKind } from "./TargetChoiceKind";
import type { TargetLoads } from "./TargetLoads";
import { classifyWorkError } from "./classifyWorkError";

interface WorkEstimatesOptions {
  readonly options: Pick<GatewayOptions, "targetChoice" | "clock">;
  readonly view: FleetView;
  readonly loads: TargetLoads;
  readonly metrics: GatewayMetrics;
}

/** On average, half of a running request's work remains. */
const usualLeftShare = 0.5;

/** Expected work of requests, and the work that remains at targets. */
export class WorkEstimates {
  readonly #options: WorkEstimatesOptions;
  readonly #model = new CostModel();
  readonly #ledger = new WorkLedger();
  readonly #means = new Map<string, MeanWork>();

  constructor(options: WorkEstimatesOptions) {
    this.#options = options;
  }

  /** Routes of which something was learned. */
  get learnedRoutes(): number {
    return this.#model.routeCount;
  }

  /** Whether targets of the service are chosen by expected work. */
  isInForce(service: string): boolean {
    const { options, view } = this.#options;
    return options.targetChoice === TargetChoiceKind.Auto
      ? (view.state.table?.hasMixedDemand(service) ?? false)
      : options.targetChoice === TargetChoiceKind.ExpectedWork;
  }

  /** Expected work of a request. Known for every service, also where it is not used for the choice of targets. */
  estimateWork(routed: RoutedRequest): RequestWork {
    return this.#model.estimate(this.#describe(routed));
  }

  /** Work of a request that has completed after `events` events. */
  measureWork(routed: RoutedRequest, events: number, durationMs: number): RequestWork {
    const request = this.#describe(routed);
    return this.#model.measure(request, events * Math.max(1, request.engine?.stride ?? 1), durationMs);
  }

  /** Starts to count a request that is sent to a target; `isWhole` unless it resumes a broken stream. */
  begin(routed: RoutedRequest, target: string, isWhole: boolean): RunningRequest {
    const { clock } = this.#options.options;
    const request = this.#describe(routed);
    const work = this.#model.estimate(request);
    const startedAtMs = clock.monotonicMs();
    this.#getMean(routed.service.name).note(work.totalMs);
    return new RunningRequest({
      running: this.#ledger.begin(target, work, (doneTokens) =>
        this.#model.estimateAnswerAbove(request, doneTokens),
      ),
      startedAtMs,
      onComplete: (answerTokens, durationMs) => {
        if (isWhole) {
          this.#model.note(request, answerTokens, durationMs, clock.monotonicMs());
          this.#noteError(work.totalMs, this.#model.measure(request, answerTokens, durationMs).totalMs);
        }
      },
    });
  }

  /** Requests and remaining work at a target, from all gateways. */
  getLoad(id: string, service: RoutedService): TargetLoad {
    const { view } = this.#options;
    const { othersInFlight, othersRemainingMs } = view.state;
    const { requests, leftMs, prefillMs } = this.#ledger.get(id);
    const others = getOwn(othersInFlight, id) ?? 0;
    const othersMs =
      others === 0 ? 0 : (othersRemainingMs?.get(id) ?? others * this.#getMeanMs(service) * usualLeftShare);
    return { requests: requests + others, leftMs: leftMs + othersMs, prefillMs };
  }

  /** Tokens that the requests at a target are expected to hold at their end. */
  getHeldTokens(id: string, { engine }: RoutedService): number {
    const perRequest = (engine?.meanPromptTokens ?? 0) + (engine?.meanAnswerTokens ?? 0);
    const others = getOwn(this.#options.view.state.othersInFlight, id) ?? 0;
    return this.#ledger.get(id).heldTokens + others * perRequest;
  }

  /** Own requests in flight; with their remaining work where a service is routed by it. */
  createReport(): Pick<EntryRecord, "inFlight" | "remainingCs"> {
    const { view, loads } = this.#options;
    const inFlight = loads.listOwn();
    const services = view.state.table?.document.services ?? [];
    if (!services.some(({ name }) => this.isInForce(name))) {
      return { inFlight };
    }
    const getUnits = (id: string): number => Math.round(this.#ledger.get(id).leftMs / msPerReportedWork);
    return { inFlight, remainingCs: Object.keys(inFlight).map((id) => Math.max(0, getUnits(id))) };
  }

  /** Remaining work by target from all gateways, in ms, for the targets of services that are routed by it. */
  listMs(): [string, number][] {
    const services = this.#options.view.state.table?.document.services ?? [];
    return services
      .filter(({ name }) => this.isInForce(name))
      .flatMap((service) =>
        this.#options.view
          .listOpenTargets(service.name)
          .map(({ id }): [string, number] => [id, Math.max(0, this.getLoad(id, service).leftMs)]),
      );
  }

  /** Forgets targets without requests, and services that no longer exist. */
  removeIdle(): void {
    const { table } = this.#options.view.state;
    this.#ledger.removeIdle();
    for (const service of this.#means.keys()) {
      if ((table?.findService(service) ?? null) === null) {
        this.#means.delete(service);
      }
    }
  }

  #noteError(expectedMs: number, actualMs: number): void {
    const { metrics } = this.#options;
    metrics.expectedWork.observeMs(expectedMs);
    metrics.actualWork.observeMs(actualMs);
    metrics.workErrors.add(classifyWorkError(expectedMs, actualMs));
  }

  #describe({ route, service, caller }: RoutedRequest): CostRequest {
    const { promptTokens, hintTokens, maxAnswerTokens } = caller;
    const slots = service.engine?.slots ?? this.#options.view.listOpenTargets(service.name)[0]?.slots ?? 1;
    return { route: route.name, engine: service.engine, slots, promptTokens, hintTokens, maxAnswerTokens };
  }

  #getMean(service: string): MeanWork {
    const mean = this.#means.get(service) ?? new MeanWork();
    this.#means.set(service, mean);
    return mean;
  }

  /** Mean work of a request; before the first request, that of one without a hint. */
  #getMeanMs(service: RoutedService): number {
    const unknown = { route: "", promptTokens: 0, hintTokens: 0, maxAnswerTokens: 0 };
    return (
      this.#getMean(service.name).meanMs ??
      this.#model.estimate({ ...unknown, engine: service.engine, slots: service.engine?.slots ?? 1 }).totalMs
    );
  }
}
