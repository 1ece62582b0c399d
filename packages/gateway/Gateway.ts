import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { periodic } from "most";
import { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import { MetricsEndpoint } from "@clementinemux/metrics/MetricsEndpoint";
import { renderGauges } from "@clementinemux/metrics/renderGauges";
import type { EntryRecord } from "@clementinemux/registry/EntryRecord";
import { LimitTable } from "@clementinemux/registry/LimitTable";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { TargetIncarnation } from "@clementinemux/registry/TargetIncarnation";
import type { CallerLimits } from "@clementinemux/routes/CallerLimits";
import { acceptPending } from "@clementinemux/wire/acceptPending";
import { listenWhenFree } from "@clementinemux/wire/listenWhenFree";
import { postponeTimeouts } from "@clementinemux/wire/postponeTimeouts";
import { AdmissionLines } from "./AdmissionLines";
import { ByteBudget } from "./ByteBudget";
import { CallerDeadlines } from "./CallerDeadlines";
import { FleetSync } from "./FleetSync";
import { FleetView } from "./FleetView";
import { CrashWatch } from "./CrashWatch";
import type { GatewayContext } from "./GatewayContext";
import { GatewayHandler } from "./GatewayHandler";
import { GatewayMetrics } from "./GatewayMetrics";
import type { GatewayOptions } from "./GatewayOptions";
import { RequestReceiver } from "./RequestReceiver";
import { RequestOutcome } from "./RequestOutcome";
import { PermitClient } from "./PermitClient";
import { ServiceStates } from "./ServiceStates";
import { StopWindow } from "./StopWindow";
import { TargetConnectionPool } from "./TargetConnectionPool";
import { TargetHealth } from "./TargetHealth";
import { TargetLoads } from "./TargetLoads";
import { TargetNotices } from "./TargetNotices";
import { renderAdmissionLines } from "./renderAdmissionLines";
import { initialLimits } from "./initialLimits";
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
  readonly #health = new TargetHealth();
  readonly #notices = new TargetNotices();
  readonly #limits = new LimitTable();
  readonly #permits: PermitClient;
  readonly #admissions: AdmissionLines;
  readonly #deadlines = new CallerDeadlines();
  readonly #crashes: CrashWatch;
  readonly #connectionPools = new Map<string, TargetConnectionPool>();
  readonly #services: ServiceStates;
  readonly #sockets = new Set<Socket>();
  readonly #byteBudget: ByteBudget;
  readonly #incarnation: string;
  readonly #receiver: RequestReceiver;
  readonly #metricsPage: MetricsEndpoint;
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
    const { repeatRatio: ratio, repeatSlack: slack, repeatWindowMs: windowMs } = options;
    this.#services = new ServiceStates({ ratio, slack, windowMs });
    this.#byteBudget = new ByteBudget(options.maxHeldBytes);
    this.#incarnation = `${clock.wallMs()}-${Math.floor(random() * 1e9)}`;
    this.view = new FleetView(codec);
    const { host, metricsPort: port } = options;
    const render = (): string => this.renderMetrics();
    this.#metricsPage = new MetricsEndpoint({ role: "gateway", host, port, clock, logger, render });
    this.#loads = new TargetLoads(() => this.view.state);
    this.#crashes = new CrashWatch({
      clock,
      random,
      isRefusing: isRefusingConnections,
      isReplaced: (target) => this.#isReplaced(target),
      isIsolated: (service) =>
        (this.view.state.table?.findService(service)?.engine?.experts ?? null) === null,
      onNews: () => {
        this.#admissions.checkSuspects();
        return this.#sync.sync();
      },
      errors: this.#errors,
      logger,
    });
    this.#sync = new FleetSync({
      view: this.view,
      getEntry: () => this.#getEntry(),
      listLeaving: () => this.#listLeaving(),
      getCrashEvidence: () => this.#crashes.getEvidence(),
      onCrashFindings: (findings) => {
        this.#crashes.update(findings);
        this.#admissions.checkSuspects();
      },
      onUpdate: () => {
        this.#loads.noteReport();
        this.#admissions.noteReport();
      },
      limits: this.#limits,
      onLimit: (id, limitPerS) => {
        this.#permits.reset(id);
        this.#admissions.wake();
        logger.info({ target: id, limitPerS }, "limit of a target");
      },
      seeds,
      clock: leaseClock,
      errors: this.#errors,
      logger,
    });
    this.#permits = new PermitClient({
      limits: this.#limits,
      call: (request) => this.#sync.takePermits(request),
      getLiveEntries: () => this.view.state.liveEntries,
      outcomes: this.metrics.permits,
      errors: this.#errors,
      clock: leaseClock,
      random,
    });
    this.#admissions = new AdmissionLines({
      view: this.view,
      mode: options.waitingLine,
      clock,
      random,
      errors: this.#errors,
      isPermitBlocked: () => this.#permits.isBlocked,
      getRecovery: (service) => this.#services.getGroupRecovery(service),
    });
    this.#receiver = new RequestReceiver(this.#createContext(), () => this.#getLimits().maxBodyBytes);
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
    this.#readiness = createServer((request, response) => {
      const answer = (): void => {
        const isKnown = request.url?.split("?")[0] === readyPath;
        response.writeHead(isKnown ? (this.isReady ? 200 : 503) : 404).end();
      };
      this.#errors.run(GatewayHandler.Readiness, answer, () => response.destroy());
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
      clementinemux_gateway_limited_targets: this.#limits.size,
      clementinemux_gateway_live_gateways: state.liveEntries,
      clementinemux_gateway_held_bytes: this.#byteBudget.usedBytes,
      clementinemux_gateway_ready: this.isReady ? 1 : 0,
    };
    const lines = renderAdmissionLines(this.#admissions);
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
      health: this.#health,
      notices: this.#notices,
      limits: this.#limits,
      permits: this.#permits,
      admissions: this.#admissions,
      deadlines: this.#deadlines,
      crashes: this.#crashes,
      metrics: this.metrics,
      errors: this.#errors,
      byteBudget: this.#byteBudget,
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
    const server = createServer(
      {
        maxHeaderSize: this.#callerLimits.maxHeaderBytes,
        keepAliveTimeout: this.#callerLimits.idleTimeoutMs,
        headersTimeout: this.#callerLimits.headerTimeoutMs,
        requestTimeout: 0,
        connectionsCheckingInterval: housekeepingMs,
        noDelay: true,
        insecureHTTPParser: false,
      },
      (request: IncomingMessage, response: ServerResponse) => {
        const receive = (): void => {
          this.#receiver.receive(request, response);
        };
        this.#errors.run(GatewayHandler.Request, receive, () => response.destroy());
      },
    );
    server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => {
        this.#sockets.delete(socket);
      });
    });
    postponeTimeouts(server, (error, socket) => {
      const close = (): void => {
        this.#closeMalformed(error, socket);
      };
      this.#errors.run(GatewayHandler.Connection, close, () => socket.destroy());
    });
    return server;
  }

  #closeMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    this.#options.logger.warn({ code: error.code ?? "", error: error.message }, "malformed request");
    if (socket.writable && error.code !== "ECONNRESET") {
      const isOverflow = error.code === "HPE_HEADER_OVERFLOW";
      const status = isOverflow ? "431 Request Header Fields Too Large" : "400 Bad Request";
      this.metrics.outcomes.add(isOverflow ? RequestOutcome.TooLarge : RequestOutcome.BadRequest);
      socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    } else {
      socket.destroy();
    }
  }

  #runHousekeeping(): void {
    const limits = this.#getLimits();
    if (this.#server !== null && limits !== this.#callerLimits) {
      this.#callerLimits = limits;
      this.#server.keepAliveTimeout = limits.idleTimeoutMs;
      this.#server.headersTimeout = limits.headerTimeoutMs;
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
    this.#admissions.retain();
  }

  #isReplaced({ id, address, service, bornMs, isDraining, isLeaving }: TargetRecord): boolean {
    const isSuccessor = (other: TargetRecord): boolean =>
      other.address === address && (other.id !== id || other.bornMs > bornMs);
    return !isDraining && !isLeaving && this.view.listOpenTargets(service).some(isSuccessor);
  }

  /** Targets that reported that they are leaving, but that the coordinators do not list as leaving. */
  #listLeaving(): TargetIncarnation[] {
    const listedIds = new Set(
      this.view.state.targets.filter(({ isLeaving }) => isLeaving).map(({ id }) => id),
    );
    return this.#notices.listLeaving().filter(({ id }) => !listedIds.has(id));
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
      inFlight: this.#loads.listOwn(),
      ...(waiting === undefined ? {} : { waiting }),
    };
  }
}
