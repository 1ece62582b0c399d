import type { Server } from "node:http";
import type { Socket } from "node:net";
import { periodic } from "most";
import { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import { MetricsEndpoint } from "@clementinemux/metrics/MetricsEndpoint";
import { renderGauges } from "@clementinemux/metrics/renderGauges";
import type { EntryRecord } from "@clementinemux/registry/EntryRecord";
import { LimitTable } from "@clementinemux/registry/LimitTable";
import type { CallerLimits } from "@clementinemux/routes/CallerLimits";
import { acceptPending } from "@clementinemux/wire/acceptPending";
import { TurnQueue } from "@clementinemux/wire/TurnQueue";
import { listenWhenFree } from "@clementinemux/wire/listenWhenFree";
import { AdmissionQueues } from "./AdmissionQueues";
import { ConnectionCloseReason } from "@clementinemux/wire/ConnectionCloseReason";
import { CallerDeadlines } from "./CallerDeadlines";
import { FleetSync } from "./FleetSync";
import { FleetView } from "./FleetView";
import { ColdWatch } from "./ColdWatch";
import { CrashWatch } from "./CrashWatch";
import type { GatewayContext } from "./GatewayContext";
import { GatewayHandler } from "./GatewayHandler";
import { GatewayMemory } from "./GatewayMemory";
import { GatewayMetrics } from "./GatewayMetrics";
import type { GatewayOptions } from "./GatewayOptions";
import { RequestReceiver } from "./RequestReceiver";
import { PermitClient } from "./PermitClient";
import { ServiceStates } from "./ServiceStates";
import { StopWindow } from "./StopWindow";
import { TargetConnectionPool } from "./TargetConnectionPool";
import { TargetHealth } from "./TargetHealth";
import { TargetLoads } from "./TargetLoads";
import { TargetNotices } from "./TargetNotices";
import { renderAdmissionQueues } from "./renderAdmissionQueues";
import { WorkEstimates } from "./WorkEstimates";
import { initialLimits } from "./initialLimits";
import { isReplaced } from "./isReplaced";
import { listUnlistedLeaving } from "./listUnlistedLeaving";
import { renderTargetWork } from "./renderTargetWork";
import { applyCallerLimits } from "./applyCallerLimits";
import { createCallerServer } from "./createCallerServer";
import { createReadinessServer } from "./createReadinessServer";
import { isRefusingConnections } from "@clementinemux/wire/isRefusingConnections";

const housekeepingMs = 1000;
/**
 * After the stop signal, callers keep this address for this long: the time until they receive a new list of
 * gateways, with a margin.
 */
const advertisedMs = 2500;
/** Part of the grace time that is left when the process exits by itself. */
const stopReserveMs = 400;
const stopPollMs = 50;
/** Time for connections on which a request was only partly read when the last request ended. */
const lingerMs = 150;

/** Accepts callers' requests and forwards each to a target of its route's service. */
export class Gateway {
  readonly view: FleetView;
  readonly metrics = new GatewayMetrics();
  readonly #errors: ErrorBoundary<GatewayHandler>;
  readonly #options: GatewayOptions;
  readonly #sync: FleetSync;
  readonly #loads: TargetLoads;
  readonly #work: WorkEstimates;
  readonly #health = new TargetHealth();
  readonly #notices = new TargetNotices();
  readonly #limits = new LimitTable();
  readonly #cold: ColdWatch;
  readonly #permits: PermitClient;
  readonly #admissions: AdmissionQueues;
  readonly #deadlines = new CallerDeadlines();
  readonly #crashes: CrashWatch;
  readonly #connectionPools = new Map<string, TargetConnectionPool>();
  readonly #services: ServiceStates;
  readonly #sockets = new Set<Socket>();
  readonly #memory: GatewayMemory;
  readonly #incarnation: string;
  readonly #receiver: RequestReceiver;
  readonly #metricsPage: MetricsEndpoint;
  readonly #noteClosed = (reason: ConnectionCloseReason): void => {
    this.metrics.closedConnections.add(reason);
  };
  #server: Server | null = null;
  #readiness: Server | null = null;
  #callerLimits = initialLimits;
  #stopWindow: StopWindow | null = null;
  #stopped: Promise<void> | null = null;
  #isServing = false;
  #isClosed = false;

  constructor(options: GatewayOptions) {
    const { clock, leaseClock, random, logger, seeds, codec } = options;
    this.#options = options;
    this.#errors = new ErrorBoundary({
      name: "clementinemux_gateway_handler_errors",
      handlers: Object.values(GatewayHandler),
      logger,
    });
    this.#services = new ServiceStates(options);
    this.#memory = new GatewayMemory({
      maxHeldBytes: options.maxHeldBytes,
      clock,
      onUnreadDropped: () => {
        this.#noteClosed(ConnectionCloseReason.Budget);
      },
    });
    this.#incarnation = `${clock.wallMs()}-${Math.floor(random() * 1e9)}`;
    this.view = new FleetView(codec);
    const { host, metricsPort: port } = options;
    const render = (): string => this.renderMetrics();
    this.#metricsPage = new MetricsEndpoint({ role: "gateway", host, port, clock, logger, render });
    this.#loads = new TargetLoads(() => this.view.state);
    this.#work = new WorkEstimates({ options, view: this.view, loads: this.#loads, metrics: this.metrics });
    this.#crashes = new CrashWatch({
      clock,
      random,
      isRefusing: isRefusingConnections,
      isReplaced: (target) => isReplaced(this.view, target),
      isIsolated: (service) =>
        (this.view.state.table?.findService(service)?.engine?.experts ?? null) === null,
      onNews: () => {
        this.#admissions.checkSuspects();
        return this.#sync.sync();
      },
      errors: this.#errors,
      logger,
    });
    this.#cold = new ColdWatch(this.view, options, this.metrics.coldPermits);
    this.#sync = new FleetSync({
      view: this.view,
      getEntry: () => this.#getEntry(),
      listLeaving: () => listUnlistedLeaving(this.view, this.#notices),
      getCrashEvidence: () => this.#crashes.getEvidence(),
      onCrashFindings: (findings) => {
        this.#crashes.update(findings);
        this.#admissions.checkSuspects();
      },
      limits: this.#limits,
      onLimit: (id, limitPerS) => {
        this.#permits.reset(id);
        this.#admissions.wake();
        logger.info({ target: id, limitPerS }, "limit of a target");
      },
      onApplied: ({ cold }) => {
        this.#cold.update(cold);
        this.#loads.noteReport();
        this.#admissions.noteReport();
      },
      seeds,
      clock: leaseClock,
      errors: this.#errors,
      logger,
    });
    this.#permits = new PermitClient({
      limits: this.#limits,
      cold: this.#cold,
      call: (request) => this.#sync.takePermits(request),
      getLiveEntries: () => this.view.state.liveEntries,
      outcomes: this.metrics.permits,
      errors: this.#errors,
      clock: leaseClock,
      random,
    });
    this.#admissions = new AdmissionQueues({
      view: this.view,
      mode: options.queueMode,
      clock,
      random,
      errors: this.#errors,
      isPermitBlocked: () => this.#permits.isBlocked,
      getRecovery: (service) => this.#services.getGroupRecovery(service),
    });
    this.#receiver = new RequestReceiver(this.#createContext(), () => this.#getLimits());
  }

  /** Whether callers should send requests to this gateway. */
  get isReady(): boolean {
    const isServing = this.#isServing && this.#stopWindow === null;
    return isServing && this.view.isFresh(this.#options.leaseClock.monotonicMs());
  }

  get inFlight(): number {
    return this.#receiver.inFlight;
  }

  async start(): Promise<void> {
    const { host, callerPort, readyPort, readyPath, name, logger } = this.#options;
    this.#readiness = createReadinessServer({
      path: readyPath,
      isReady: () => this.isReady,
      errors: this.#errors,
      onClosed: this.#noteClosed,
    });
    // A predecessor has this port until it exits, so that no two gateways of one name are announced.
    await listenWhenFree(this.#readiness, { host, port: readyPort, logger });
    this.#sync.start();
    this.#server = this.#createServer();
    await listenWhenFree(this.#server, { host, port: callerPort, logger });
    this.#isServing = true;
    await this.#metricsPage.start();
    void periodic(housekeepingMs)
      .takeWhile(() => !this.#isClosed)
      .observe(() => {
        this.#errors.run(GatewayHandler.Housekeeping, () => {
          this.#runHousekeeping();
        });
      });
    logger.info({ name, address: `${host}:${callerPort}` }, "gateway started");
  }

  /** Metrics in the Prometheus text format. */
  renderMetrics(): string {
    const { state, version } = this.view;
    const gauges = {
      clementinemux_gateway_requests_in_flight: this.inFlight,
      clementinemux_gateway_document_version: version,
      clementinemux_gateway_view_age_seconds:
        this.view.getAgeMs(this.#options.leaseClock.monotonicMs()) / 1000,
      clementinemux_gateway_targets: state.targets.length,
      clementinemux_gateway_learned_ends: this.view.learnedEnds,
      clementinemux_gateway_ended_targets_listed: this.view.endedListed,
      clementinemux_gateway_evacuated_failure_domains: this.view.evacuated.failureDomains.length,
      clementinemux_gateway_evacuation_revision: this.view.evacuated.revision,
      clementinemux_gateway_limited_targets: this.#limits.size,
      ...this.#cold.gauges,
      clementinemux_gateway_live_gateways: state.liveEntries,
      clementinemux_gateway_learned_routes: this.#work.learnedRoutes,
      ...this.#memory.gauges,
      clementinemux_gateway_caller_connections: this.#sockets.size,
      clementinemux_gateway_ready: this.isReady ? 1 : 0,
    };
    const lines = renderAdmissionQueues(this.#admissions) + renderTargetWork(this.#work.listMs());
    return this.metrics.render() + this.#errors.render() + renderGauges(gauges) + lines;
  }

  /**
   * Stops being ready, completes the requests that were read, and resolves when the process may exit. All calls share one
   * stop.
   */
  shutDown(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    const { clock, graceMs, logger } = this.#options;
    if (!this.#isServing) {
      logger.info({}, "gateway stopped before it served");
      return;
    }
    const startedAtMs = clock.monotonicMs();
    const endAtMs = startedAtMs + graceMs - stopReserveMs;
    const window = new StopWindow({ startedAtMs, endAtMs, advertisedMs });
    this.#stopWindow = window;
    logger.info({ inFlight: this.inFlight }, "gateway stopping");
    void this.#sync.sync();
    await this.#pollUntil(() => window.isOver(this.inFlight, clock.monotonicMs()));
    if (this.#server !== null) {
      await acceptPending(this.#server);
      // Idle connections are closed here; a connection with a request in flight stays open for it.
      this.#server.close();
    }
    const lingerEndMs = Math.min(endAtMs, clock.monotonicMs() + lingerMs);
    await this.#pollUntil(() => {
      const isIdle = this.inFlight === 0 && (this.#sockets.size === 0 || clock.monotonicMs() >= lingerEndMs);
      return isIdle || clock.monotonicMs() >= endAtMs;
    });
    logger.info({ inFlight: this.inFlight }, "gateway stopped");
  }

  async #pollUntil(isDone: () => boolean): Promise<void> {
    while (!isDone()) {
      await new Promise((resolve) => setTimeout(resolve, stopPollMs));
    }
  }

  /** Closes everything at once; callers see their connections close. */
  close(): void {
    this.#isClosed = true;
    this.#admissions.close();
    this.#sync.close();
    this.#server?.close();
    this.#readiness?.close();
    this.#metricsPage.stop();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    for (const agent of this.#connectionPools.values()) {
      agent.destroy();
    }
  }

  #createContext(): GatewayContext {
    return {
      options: this.#options,
      view: this.view,
      loads: this.#loads,
      work: this.#work,
      health: this.#health,
      notices: this.#notices,
      limits: this.#limits,
      cold: this.#cold.targets,
      ramps: this.#cold.ramps,
      permits: this.#permits,
      admissions: this.#admissions,
      deadlines: this.#deadlines,
      crashes: this.#crashes,
      metrics: this.metrics,
      errors: this.#errors,
      byteBudget: this.#memory.byteBudget,
      uploads: this.#memory.uploads,
      unread: this.#memory.unread,
      turns: new TurnQueue(),
      getRetryBudget: (service) => this.#services.getRetryBudget(service),
      getPassMeter: (service) => this.#services.getPassMeter(service),
      getGroupRecovery: (service) => this.#services.getGroupRecovery(service),
      getConnectionPool: (address) => {
        const agent = this.#connectionPools.get(address) ?? new TargetConnectionPool();
        this.#connectionPools.set(address, agent);
        return agent;
      },
      getStopWindow: () => this.#stopWindow,
    };
  }

  #createServer(): Server {
    const server = createCallerServer({
      getLimits: () => this.#getLimits(),
      uploads: this.#memory.uploads,
      receiver: this.#receiver,
      metrics: this.metrics,
      errors: this.#errors,
      logger: this.#options.logger,
      onClosed: this.#noteClosed,
    });
    server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => {
        this.#sockets.delete(socket);
      });
    });
    return server;
  }

  #runHousekeeping(): void {
    const limits = this.#getLimits();
    if (this.#server !== null && limits !== this.#callerLimits) {
      this.#callerLimits = limits;
      applyCallerLimits(this.#server, limits);
    }
    const { targets } = this.view.state;
    const addresses = new Set(targets.map(({ address }) => address));
    for (const [address, agent] of this.#connectionPools) {
      if (!addresses.has(address)) {
        agent.closeIdle(0);
        if (Object.keys(agent.sockets).length === 0) {
          this.#connectionPools.delete(address);
        }
      }
    }
    this.#health.retain(new Set(targets.map(({ id }) => id)));
    this.#notices.retain(targets, this.#options.clock.monotonicMs());
    this.#limits.retain(targets, this.#options.leaseClock.monotonicMs());
    this.#permits.retain();
    this.#cold.retain();
    this.#admissions.retain();
    this.#work.removeIdle();
  }

  #getLimits(): CallerLimits {
    return this.view.state.table?.document.limits ?? initialLimits;
  }

  #getEntry(): EntryRecord {
    const { name, host, callerPort, failureDomain } = this.#options;
    const waiting = this.#admissions.listWaiting();
    return {
      name,
      incarnation: this.#incarnation,
      address: `${host}:${callerPort}`,
      failureDomain,
      isReady: this.isReady,
      ...this.#work.createReport(),
      ...(waiting === undefined ? {} : { waiting }),
    };
  }
}
