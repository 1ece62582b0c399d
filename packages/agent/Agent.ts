import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { periodic } from "most";
import type * as z from "zod";
import type { Clock } from "@clementinemux/common/Clock";
import { Outcome } from "@clementinemux/common/Outcome";
import { TargetKind } from "@clementinemux/common/TargetKind";
import { headerNames } from "@clementinemux/common/headerNames";
import { createLogger } from "@clementinemux/logging/createLogger";
import { Counters } from "@clementinemux/metrics/Counters";
import { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import { renderProcess } from "@clementinemux/metrics/renderProcess";
import { renderCounters } from "@clementinemux/metrics/renderCounters";
import { acceptPending } from "@clementinemux/wire/acceptPending";
import { findRequestFault } from "@clementinemux/wire/findRequestFault";
import { isRefusingConnections } from "@clementinemux/wire/isRefusingConnections";
import { listenWhenFree } from "@clementinemux/wire/listenWhenFree";
import { parseAddress } from "@clementinemux/wire/parseAddress";
import { AdmissionGate } from "./AdmissionGate";
import { AgentHandler } from "./AgentHandler";
import { AgentRefusal } from "./AgentRefusal";
import type { AgentSettings } from "./AgentSettings";
import type { AgentState } from "./AgentState";
import { CacheEventPoller } from "./CacheEventPoller";
import { ConfigView } from "./ConfigView";
import { Forwarder } from "./Forwarder";
import { LoadPoller } from "./LoadPoller";
import { OrderQueue } from "./OrderQueue";
import { OrderGate } from "./OrderGate";
import { RelayClient } from "./RelayClient";
import { TargetClient } from "./TargetClient";
import { TargetCrashes } from "./TargetCrashes";
import type { RankMember } from "./rank/RankMember";
import { createAgentServer } from "./createAgentServer";
import { createIncarnation } from "./createIncarnation";
import { readTlsFiles } from "@clementinemux/wire/readTlsFiles";

/** Called when the agent starts or stops accepting requests. */
type LogState = (reason: AgentRefusal | null, revision: number) => void;

/** Logs events of the agent while it leads its rank group. */
type LogLeader = (fields: Readonly<Record<string, string | number>>, text: string) => void;

const drainCheckIntervalMs = 50;

/** Sidecar of one target: announces the target and proxies every request to it. */
export class Agent {
  readonly counters = new Counters(
    "clementinemux_agent_refusals_total",
    "reason",
    Object.values(AgentRefusal),
  );

  readonly #settings: z.output<typeof AgentSettings>;
  readonly #errors: ErrorBoundary<AgentHandler>;
  readonly #clock: Clock;
  readonly #configView: ConfigView;
  readonly #admissionGate: AdmissionGate;
  readonly #forwarder: Forwarder;
  readonly #crashes: TargetCrashes;
  readonly #targetClient: TargetClient;
  readonly #loadPoller: LoadPoller;
  readonly #cacheEventPoller: CacheEventPoller | null;
  readonly #orderQueue: OrderQueue;
  readonly #relays: RelayClient;
  readonly #logState: LogState;
  readonly #logLeader: LogLeader;
  readonly #incarnation: string;
  readonly #orderGate: OrderGate;
  /** Null for a target that is not a rank of a group. */
  #rankMember: RankMember | null = null;
  #loggedReason: AgentRefusal | null = AgentRefusal.LeaseExpired;
  #server: Server | null = null;
  #stopped = false;

  constructor(
    settings: z.output<typeof AgentSettings>,
    clock: Clock,
    logState: LogState = () => undefined,
    logLead: LogLeader = () => undefined,
  ) {
    this.#settings = settings;
    this.#errors = new ErrorBoundary({
      name: "clementinemux_agent_handler_errors",
      handlers: Object.values(AgentHandler),
      logger: createLogger("clementinemux-agent", { target: settings.target }),
    });
    this.#logState = logState;
    this.#logLeader = logLead;
    this.#clock = clock;
    const incarnation = createIncarnation(clock.wallMs());
    this.#incarnation = incarnation;
    const targetAddress = parseAddress(settings.targetAddress);
    this.#configView = new ConfigView(settings);
    this.#admissionGate = new AdmissionGate(incarnation, this.#configView);
    this.#forwarder = new Forwarder(targetAddress, settings.abandonedTimeoutMs);
    const isRefusing = (): Promise<boolean> => isRefusingConnections(settings.targetAddress);
    this.#crashes = new TargetCrashes({ clock: this.#clock, isRefusing });
    this.#targetClient = new TargetClient(targetAddress);
    this.#loadPoller = new LoadPoller(this.#targetClient, settings.loadPath, clock);
    this.#orderGate = new OrderGate(incarnation, this.#configView);
    this.#cacheEventPoller =
      settings.kind === TargetKind.Engine
        ? new CacheEventPoller(this.#targetClient, settings.cacheEventsPath)
        : null;
    this.#orderQueue = new OrderQueue({
      gate: this.#orderGate,
      client: this.#targetClient,
      path: settings.orderPath,
      clock,
      refuse: (response, reason) => {
        this.#refuse(response, reason);
      },
    });
    this.#relays = this.#createRelayLink(incarnation);
  }

  get inFlight(): number {
    return this.#forwarder.inFlight;
  }

  /** Resolves with the port that the server listens on. */
  async start(): Promise<number> {
    const { host, port, heartbeatIntervalMs, loadIntervalMs, maxConnections, tls } = this.#settings;
    const server = await createAgentServer(
      { maxConnections, tls: readTlsFiles(tls) },
      (request, response) => {
        const handle = (): void => {
          this.#handle(request, response);
        };
        this.#errors.run(AgentHandler.Request, handle, () => response.destroy());
      },
    );
    this.#server = server;
    const logger = createLogger("clementinemux-agent", { target: this.#settings.target });
    await listenWhenFree(server, { host, port, logger });
    await this.#joinRankGroup();
    const isRunning = (): boolean => !this.#stopped;
    void periodic(heartbeatIntervalMs)
      .takeWhile(isRunning)
      .observe(() => {
        void this.#errors.runAsync(AgentHandler.Heartbeat, async () => {
          await this.#relays.sendHeartbeats();
          this.#logStateChange();
        });
      });
    void periodic(loadIntervalMs)
      .takeWhile(isRunning)
      .observe(() => {
        void this.#errors.runAsync(AgentHandler.Poll, async () => {
          await this.#loadPoller.poll();
          this.#admissionGate.setTargetFailed(this.#loadPoller.hasFailed);
        });
        void this.#errors.runAsync(AgentHandler.Poll, () => this.#cacheEventPoller?.poll());
      });
    const bound = server.address();
    return typeof bound === "object" && bound !== null ? bound.port : port;
  }

  /**
   * Rejects new requests, announces the departure to the relays, and waits for the requests in flight.
   * Resolves with whether all of them ended before the deadline.
   */
  async leave(): Promise<boolean> {
    this.#admissionGate.markLeaving();
    this.#logStateChange();
    const deadlineMs = this.#clock.monotonicMs() + this.#settings.shutdownDeadlineMs;
    await this.#relays.announceLeaving();
    while (this.inFlight > 0 && this.#clock.monotonicMs() < deadlineMs) {
      await new Promise((resolve) => setTimeout(resolve, drainCheckIntervalMs));
    }
    const isDone = this.inFlight === 0;
    if (this.#server !== null) {
      await acceptPending(this.#server);
    }
    await this.stop();
    return isDone;
  }

  /** Stops immediately and aborts the requests in flight. */
  async stop(): Promise<void> {
    this.#stopped = true;
    this.#rankMember?.stop();
    this.#relays.close();
    this.#targetClient.close();
    const server = this.#server;
    if (server !== null) {
      // Idle connections are closed first; the delay lets a response that has just ended be sent.
      await new Promise<void>((resolve) => {
        server.close(() => {
          resolve();
        });
        if (this.inFlight === 0) {
          server.closeIdleConnections();
        }
        setTimeout(() => {
          server.closeAllConnections();
        }, drainCheckIntervalMs);
      });
    }
    this.#forwarder.close();
  }

  async #joinRankGroup(): Promise<void> {
    const { rankGroup, group, target, host, port, relays, tls } = this.#settings;
    if (rankGroup === undefined || group === "") {
      return;
    }
    const { RankMember } = await import("./rank/RankMember");
    this.#rankMember = new RankMember({
      group,
      target,
      address: `${host}:${port}`,
      incarnation: this.#incarnation,
      settings: rankGroup,
      controlReplicas: rankGroup.controlReplicas ?? relays,
      tls: readTlsFiles(tls),
      client: this.#targetClient,
      clock: this.#clock,
      createStamp: () => this.#admissionGate.createStamp(this.#clock.monotonicMs()),
      getEpochSeen: () => this.#orderGate.highestEpoch,
      getGroups: () => this.#configView.config.groups,
      getOrderMaxAgeMs: () => this.#configView.config.orderMaxAgeMs,
      callRelay: (name, body) => this.#relays.call(name, body),
      log: this.#logLeader,
    });
    this.#rankMember.start();
  }

  #logStateChange(): void {
    const reason = this.#admissionGate.getClosedReason(this.#clock.monotonicMs());
    if (reason !== this.#loggedReason) {
      this.#loggedReason = reason;
      this.#logState(reason, this.#configView.config.revision);
    }
  }

  #createRelayLink(incarnation: string): RelayClient {
    const settings = this.#settings;
    const { target, host, port, failureDomain, region, kind, role, models, adapters } = settings;
    const { version, service, group, rank, checksFencing } = settings;
    const address = `${host}:${port}`;
    const identity = { target, incarnation, address, failureDomain, region };
    return new RelayClient({
      relays: settings.relays,
      tls: readTlsFiles(settings.tls),
      announcement: {
        ...identity,
        ...{ kind, role, models, adapters, version, service, group, rank, checksFencing },
      },
      clock: this.#clock,
      random: Math.random,
      getRevision: () => this.#configView.config.revision,
      onRenewed: (response, sentAtMs) => {
        this.#admissionGate.onRenewed(response, sentAtMs);
      },
      onSuperseded: () => {
        this.#admissionGate.markSuperseded();
      },
    });
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    if (findRequestFault(request) !== null) {
      this.counters.add(AgentRefusal.RequestMalformed);
      response.writeHead(400).end();
      return;
    }
    const [url = "", query = ""] = (request.url ?? "").split("?", 2);
    const routes: Readonly<Record<string, () => void>> = {
      "/agent/state": () => {
        response
          .writeHead(200, { "content-type": "application/json" })
          .end(JSON.stringify(this.#createState(query)));
      },
      "/agent/metrics": () => {
        response
          .writeHead(200, { "content-type": "text/plain" })
          .end(renderProcess() + renderCounters(this.counters) + this.#errors.render());
      },
      "/agent/order": () => {
        this.#orderQueue.handle(request, response).catch((error: unknown) => {
          this.#errors.note(AgentHandler.Order, error);
          response.destroy();
        });
      },
    };
    if (url.startsWith("/agent/")) {
      const route = Object.hasOwn(routes, url) ? routes[url] : undefined;
      if (route !== undefined) {
        route();
      } else if (this.#rankMember?.handle(request, response) !== true) {
        response.writeHead(404).end();
      }
      return;
    }
    this.#forward(request, response);
  }

  #forward(request: IncomingMessage, response: ServerResponse): void {
    const { revision, repeatable } = this.#configView.config;
    if (Number(getHeader(request, headerNames.revision)) > revision) {
      void this.#errors.runAsync(AgentHandler.Heartbeat, () => this.#relays.renew());
    }
    const attemptId = getHeader(request, headerNames.attemptId);
    const permit = { stamp: getHeader(request, headerNames.stamp), attemptId };
    const refusal = this.#admissionGate.admit(permit, this.#clock.monotonicMs());
    const headers = { [headerNames.attemptId]: attemptId, [headerNames.revision]: String(revision) };
    if (refusal !== null) {
      this.#refuse(response, refusal, headers);
      return;
    }
    this.#forwarder.forward(request, response, {
      repeatable,
      headers,
      onUnreachable: () => {
        this.#refuse(response, AgentRefusal.TargetUnreachable, headers);
      },
      onBroken: async () => {
        await this.#errors.runAsync(AgentHandler.Request, () => this.#crashes.examine());
      },
      guard: (action) => {
        this.#errors.run(AgentHandler.Request, action, () => response.destroy());
      },
    });
  }

  #refuse(
    response: ServerResponse,
    reason: AgentRefusal,
    headers: Readonly<Record<string, string>> = {},
  ): void {
    this.counters.add(reason);
    const stamp = this.#admissionGate.createStamp(this.#clock.monotonicMs());
    response.writeHead(503, {
      [headerNames.revision]: String(this.#configView.config.revision),
      ...headers,
      "content-type": "application/json",
      [headerNames.refusedBy]: "agent",
      [headerNames.stamp]: stamp,
    });
    response.end(JSON.stringify({ outcome: Outcome.NotRun, reason, stamp }));
  }

  #createState(query: string): AgentState {
    const params = new URLSearchParams(query);
    const nowMs = this.#clock.monotonicMs();
    const reason = this.#admissionGate.getClosedReason(nowMs);
    const { target, group, rank } = this.#settings;
    return {
      target,
      stamp: this.#admissionGate.createStamp(nowMs),
      accepting: reason === null,
      reason,
      inFlight: this.inFlight,
      load: this.#loadPoller.getLoad(),
      revision: this.#configView.config.revision,
      lastCrash: this.#crashes.last,
      cacheEvents:
        this.#cacheEventPoller?.getAfter(
          Number(params.get("cacheAfter") ?? 0),
          Number(params.get("cacheLimit") ?? 0),
        ) ?? [],
      group: group === "" ? null : { name: group, rank },
    };
  }
}

function getHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === "string" ? value : "";
}
