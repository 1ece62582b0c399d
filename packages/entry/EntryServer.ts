import { randomBytes } from "node:crypto";
import { readFileSync } from "node:fs";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer as createTlsServer } from "node:https";
import { periodic } from "most";
import type * as z from "zod";
import { createIncarnation } from "@clementinemux/agent/createIncarnation";
import { acceptPending } from "@clementinemux/wire/acceptPending";
import { installConnectionErrorHandlers } from "@clementinemux/wire/installConnectionErrorHandlers";
import { listenWhenFree } from "@clementinemux/wire/listenWhenFree";
import { readTlsFiles } from "@clementinemux/wire/readTlsFiles";
import type { Clock } from "@clementinemux/common/Clock";
import { RefusalReason } from "@clementinemux/common/RefusalReason";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { ControlClient } from "@clementinemux/control/ControlClient";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import { createLogger } from "@clementinemux/logging/createLogger";
import { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import type { EntryAnnouncement } from "@clementinemux/messages/EntryAnnouncement";
import { LeaseholderKind } from "@clementinemux/messages/LeaseholderKind";
import type { Policy } from "@clementinemux/policy/Policy";
import { createPolicy } from "@clementinemux/policy/createPolicy";
import { getTeamSettings } from "@clementinemux/policy/getTeamSettings";
import { CallerTable } from "./CallerTable";
import type { ClaimClient } from "./ClaimClient";
import { ControlClaimClient } from "./ControlClaimClient";
import { CrashGuard } from "./CrashGuard";
import { Dispatcher } from "./Dispatcher";
import { EntryHandler } from "./EntryHandler";
import { EntryMetrics } from "./EntryMetrics";
import type { EntrySettings } from "./EntrySettings";
import { ExplainLog } from "./ExplainLog";
import { FleetView } from "./FleetView";
import { HttpApi } from "./HttpApi";
import { LimitReporter } from "./LimitReporter";
import { exchangeCrashes } from "./exchangeCrashes";
import { exchangeLimitShares } from "./exchangeLimitShares";
import type { LeaseClient } from "./LeaseClient";
import { RelayCaller } from "./RelayCaller";
import { RequestReceiver } from "./RequestReceiver";
import { RpcLeaseClient } from "./RpcLeaseClient";
import { ServingLease } from "./ServingLease";
import type { SessionContext } from "./SessionContext";
import { Shutdown } from "./Shutdown";
import { getSpreadCount } from "./getSpreadCount";
import { orderAddresses } from "./orderAddresses";

interface EntryServerOptions {
  readonly clock?: Clock;
  readonly policy?: Policy;
  readonly leases?: LeaseClient;
  readonly claims?: ClaimClient;
}

// The policy needs a tick at least every 50 ms. Timeouts are checked on the same tick.
const tickIntervalMs = 25;
// With four renewals per lease, three may be lost before the lease expires.
const renewalsPerLease = 4;
const limitReportIntervalMs = 1000;
const crashRefreshIntervalMs = 1000;
// A team without a share can use only a small part of its limit, so its first report is sent early, ahead of
// the next regular round.
const newTeamReportIntervalMs = 50;
// All callers' requests have ended by then. A connection that is still busy serves a status request only.
const closeGraceMs = 1000;
const headersTimeoutMs = 10_000;
const bodyTimeoutMs = 60_000;
const keepAliveTimeoutMs = 60_000;
const timeoutCheckIntervalMs = 1000;

/** Entry process: accepts callers' requests and forwards each to a target. */
export class EntryServer {
  readonly #settings: z.output<typeof EntrySettings>;
  readonly #errors: ErrorBoundary<EntryHandler>;
  readonly #clock: Clock;
  readonly #incarnation: string;
  readonly #relays: RelayCaller;
  readonly #leases: LeaseClient;
  readonly #lease = new ServingLease(createDefaultConfig());
  readonly #fleet: FleetView;
  readonly #policy: Policy;
  readonly #limitReporter: LimitReporter;
  readonly #dispatcher: Dispatcher;
  readonly #control: ControlClient;
  readonly #crashes: CrashGuard;
  readonly #api: HttpApi;
  readonly #server: Server;
  readonly #shutdown: Shutdown;
  #url: string;
  #running = true;
  #refreshing = false;

  constructor(settings: z.output<typeof EntrySettings>, options: EntryServerOptions = {}) {
    this.#settings = settings;
    this.#errors = new ErrorBoundary({
      name: "clementinemux_entry_handler_errors",
      handlers: Object.values(EntryHandler),
      logger: createLogger("clementinemux-entry", { entry: settings.name }),
    });
    this.#url = settings.url;
    this.#clock = options.clock ?? new SystemClock();
    this.#incarnation = createIncarnation(this.#clock.wallMs());
    const tls = readTlsFiles(settings.peerTls);
    this.#relays = new RelayCaller(settings.relays, tls);
    this.#leases = options.leases ?? new RpcLeaseClient(this.#relays, settings.claimTimeoutMs);
    this.#fleet = new FleetView({
      ...{ relays: this.#relays, clock: this.#clock, entry: settings.name, tls },
      pollIntervalMs: settings.pollIntervalMs,
      onCacheEvents: (target, events) => {
        for (const [sequence, block, stored] of events) {
          this.#policy.onCacheEvent(target, sequence, stored ? [block] : [], stored ? [] : [block]);
        }
      },
    });
    this.#policy = options.policy ?? this.#createPolicy();
    // Sent to every relay each second, so it is short. Differs after every restart.
    const holder = randomBytes(6).toString("hex");
    this.#limitReporter = new LimitReporter(holder, settings.relays);
    this.#dispatcher = new Dispatcher(this.#policy, this.#clock);
    this.#control = new ControlClient({
      addresses: settings.control ?? settings.relays,
      claimGroups: settings.claimGroups,
      clock: this.#clock,
      random: Math.random,
      tls,
    });
    this.#crashes = this.#createCrashGuard();
    this.#api = this.#createApi(
      options.claims ?? new ControlClaimClient(this.#control, settings.claimTimeoutMs),
    );
    this.#server = this.#createHttpServer();
    this.#shutdown = new Shutdown({
      clock: this.#clock,
      shutdownDeadlineMs: settings.shutdownDeadlineMs,
      addressSettleMs: settings.addressSettleMs,
      getAddressTtlMs: () => this.#lease.config.defaults.addressTtlMs,
      getRequestsInFlight: () => this.#api.requestsInFlight,
      announceLeaving: () => this.#fleet.announce(this.#getAnnouncement()),
      endRequests: () => {
        for (const session of [...this.#dispatcher.sessions]) {
          session.endNow(RefusalReason.ShutdownDeadline);
        }
      },
    });
  }

  /** Resolves with the bound port. */
  async start(): Promise<number> {
    const { host, tls } = this.#settings;
    const logger = createLogger("clementinemux-entry", { entry: this.#settings.name });
    await listenWhenFree(this.#server, { host, port: this.#settings.port, logger });
    const bound = this.#server.address();
    const port = typeof bound === "object" && bound !== null ? bound.port : 0;
    this.#url ||= `${tls === undefined ? "http" : "https"}://${host}:${port}`;
    this.#runPeriodically(tickIntervalMs, () => this.#tick());
    this.#runPeriodically(this.#settings.pollIntervalMs, () => this.#refreshFleet());
    this.#runPeriodically(limitReportIntervalMs, () => this.#exchangeLimitShares(false));
    this.#runPeriodically(crashRefreshIntervalMs, () => this.#crashes.refresh());
    this.#runPeriodically(newTeamReportIntervalMs, () => this.#exchangeLimitShares(true));
    this.#runPeriodically(createDefaultConfig().defaults.servingLeaseMs / renewalsPerLease, () =>
      this.#renewLease(),
    );
    return port;
  }

  /**
   * Shuts down gracefully: leaves the address list and keeps serving until no caller uses this address and
   * the last request has ended. A second call ends the remaining requests with an error. Resolves when the
   * server has stopped; at once when it does not listen yet.
   */
  async shutDown(): Promise<void> {
    if (!this.#server.listening) {
      await this.#stop();
      return;
    }
    await this.#shutdown.begin();
    await acceptPending(this.#server);
    const closed = new Promise((resolve) => this.#server.close(resolve));
    const timer = setTimeout(() => {
      this.#server.closeAllConnections();
    }, closeGraceMs);
    await closed;
    clearTimeout(timer);
    await this.#stop();
  }

  /** Stops immediately, like a killed process. For tests. */
  async kill(): Promise<void> {
    this.#server.closeAllConnections();
    this.#server.close();
    await this.#stop();
  }

  async #stop(): Promise<void> {
    this.#running = false;
    await this.#fleet.close();
    this.#relays.close();
    this.#control.close();
  }

  #createPolicy(): Policy {
    const { name, failureDomain, region } = this.#settings;
    return createPolicy({
      config: this.#lease.config,
      entryId: `${name}/${this.#incarnation}`,
      failureDomain,
      region,
      random: Math.random,
      startedAtMs: this.#clock.monotonicMs(),
    });
  }

  #createCrashGuard(): CrashGuard {
    const logger = createLogger("clementinemux-entry", { entry: this.#settings.name });
    return new CrashGuard({
      clock: this.#clock,
      random: Math.random,
      exchange: (evidence) => exchangeCrashes(this.#relays, evidence),
      log: (event, fields) => {
        logger.warn({ ...fields }, event);
      },
    });
  }

  #createApi(claims: ClaimClient): HttpApi {
    const settings = this.#settings;
    const logger = createLogger("clementinemux-entry", { entry: settings.name });
    const context: SessionContext = {
      dispatcher: this.#dispatcher,
      fleet: this.#fleet,
      crashes: this.#crashes,
      metrics: new EntryMetrics(),
      explain: new ExplainLog(settings.explainedRequests),
      explainDecisions: (requestId) => this.#policy.explain(requestId),
      clock: this.#clock,
      random: Math.random,
      getConfig: () => this.#lease.config,
      log: (event, fields) => {
        logger.info({ ...fields }, event);
      },
    };
    const claimant = { entry: settings.name, incarnation: this.#incarnation };
    return new HttpApi({
      context,
      receiver: new RequestReceiver({ settings, context, claims, claimant }),
      callers: new CallerTable(settings.callers),
      anonymousTeam: settings.anonymousTeam,
      maxRequestsInFlight: settings.maxRequestsInFlight,
      getRefusal: () => this.#getRefusal(),
      isReady: () => this.#isServing() && !this.#shutdown.leaving,
      getAddresses: (team, caller) => this.#getAddresses(team, caller),
    });
  }

  #createHttpServer(): Server {
    const { tls, maxHeaderBytes, maxConnections } = this.#settings;
    const options = {
      maxHeaderSize: maxHeaderBytes,
      headersTimeout: headersTimeoutMs,
      requestTimeout: bodyTimeoutMs,
      keepAliveTimeout: keepAliveTimeoutMs,
      connectionsCheckingInterval: timeoutCheckIntervalMs,
      noDelay: true,
    };
    const handle = (request: IncomingMessage, response: ServerResponse): void => {
      if (this.#shutdown.leaving) {
        // The caller's next request then connects to another entry.
        response.setHeader("connection", "close");
      }
      this.#api.handle(request, response).catch((error: unknown) => {
        this.#errors.note(EntryHandler.Request, error);
        response.destroy();
      });
    };
    const server =
      tls === undefined
        ? createServer(options, handle)
        : createTlsServer(
            { ...options, key: readFileSync(tls.keyFile), cert: readFileSync(tls.certFile) },
            handle,
          );
    server.maxConnections = maxConnections;
    installConnectionErrorHandlers(server);
    return server;
  }

  #isServing(): boolean {
    return this.#lease.isServing(this.#clock.monotonicMs(), this.#settings.region);
  }

  #getRefusal(): RefusalReason | null {
    if (!this.#shutdown.acceptsRequests) {
      return RefusalReason.EntryLeaving;
    }
    return this.#isServing() ? null : RefusalReason.ControlLost;
  }

  #getAnnouncement(): EntryAnnouncement {
    const { name, failureDomain, region } = this.#settings;
    const { leaving } = this.#shutdown;
    return { entry: name, incarnation: this.#incarnation, url: this.#url, failureDomain, region, leaving };
  }

  /** All known entries. This one is listed from its own state, which is newer than the relay's. */
  #getEntries(): EntryAnnouncement[] {
    const others = this.#fleet.entries.filter(({ entry }) => entry !== this.#settings.name);
    const canServe = this.#isServing();
    return canServe ? [this.#getAnnouncement(), ...others] : others;
  }

  #getAddresses(team: string, caller: string): readonly string[] {
    const { region } = this.#settings;
    const { tokensPerS } = getTeamSettings(this.#lease.config, { team, model: "", service: "", region });
    return orderAddresses(this.#getEntries(), team, caller, region, getSpreadCount(tokensPerS));
  }

  async #tick(): Promise<void> {
    this.#shutdown.tick();
    await this.#dispatcher.tick(this.#lease.config);
  }

  async #renewLease(): Promise<void> {
    const sentAtMs = this.#clock.monotonicMs();
    const { name, failureDomain, region } = this.#settings;
    const response = await this.#leases.renew({
      holder: name,
      incarnation: this.#incarnation,
      kind: LeaseholderKind.Entry,
      failureDomain,
      region,
      appliedRevision: this.#lease.config.revision,
    });
    if (response !== null && this.#lease.onRenewed(response, sentAtMs)) {
      this.#dispatcher.applyConfig(this.#lease.config);
    }
  }

  #exchangeLimitShares(onlyNewTeams: boolean): Promise<void> {
    const { limits } = this.#policy;
    return exchangeLimitShares(this.#limitReporter, limits, this.#relays, this.#clock, onlyNewTeams);
  }

  async #refreshFleet(): Promise<void> {
    if (this.#refreshing) {
      return;
    }
    this.#refreshing = true;
    try {
      const { defaults } = this.#lease.config;
      await this.#fleet.refreshDirectory(this.#getAnnouncement(), defaults);
      await this.#fleet.pollTargets(defaults);
    } finally {
      this.#refreshing = false;
    }
    this.#policy.setLiveEntryCount(this.#getEntries().filter(({ leaving }) => !leaving).length);
    this.#dispatcher.applyTargets(this.#fleet.getTargets(this.#lease.config.defaults.permitMaxAgeMs));
  }

  /** Runs a task periodically. An exception ends one round only. */
  #runPeriodically(intervalMs: number, task: () => Promise<void> | void): void {
    void periodic(intervalMs)
      .takeWhile(() => this.#running)
      .observe(() => {
        void this.#errors.runAsync(EntryHandler.Round, task);
      });
  }
}
