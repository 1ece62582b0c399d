import type { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import { MetricsEndpoint } from "@clementinemux/metrics/MetricsEndpoint";
import type { ActivateRequest } from "@clementinemux/ranker/ActivateRequest";
import { renderCounters } from "@clementinemux/metrics/renderCounters";
import { MapActivator } from "@clementinemux/ranker/MapActivator";
import type { AwaitFindingsRequest } from "@clementinemux/registry/AwaitFindingsRequest";
import { EntryRegistry } from "@clementinemux/registry/EntryRegistry";
import { LimitTable } from "@clementinemux/registry/LimitTable";
import type { PermitRequest } from "@clementinemux/registry/PermitRequest";
import type { ExchangeRequest } from "@clementinemux/registry/ExchangeRequest";
import { SlowdownTable } from "@clementinemux/registry/SlowdownTable";
import type { SyncRequest } from "@clementinemux/registry/SyncRequest";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { TargetRegistry } from "@clementinemux/registry/TargetRegistry";
import type { MessageHandler } from "@clementinemux/wire/MessageHandler";
import { MessageName } from "@clementinemux/wire/MessageName";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import { RankGroupManager } from "../ranks/RankGroupManager";
import type { EndReport } from "../ends/EndReport";
import { EndRecorder } from "../ends/EndRecorder";
import { EvacuationControl } from "../evacuation/EvacuationControl";
import { TargetReports } from "../ends/TargetReports";
import { ColdRates } from "../limits/ColdRates";
import { PermitService } from "../limits/PermitService";
import { GroupHost } from "../GroupHost";
import type { ReplicatedGroup } from "../ReplicatedGroup";
import { CoordinatorHandler } from "./CoordinatorHandler";
import { CoordinatorMetrics } from "./CoordinatorMetrics";
import { CrashFeed } from "./CrashFeed";
import type { CoordinatorOptions } from "./CoordinatorOptions";
import type { CoordinatorStatus } from "./CoordinatorStatus";
import { DocumentOutcome } from "./DocumentOutcome";
import { DocumentService } from "./DocumentService";
import { RegistryExchange } from "./RegistryExchange";
import { PeerTable } from "./PeerTable";
import { RoundRunner } from "./RoundRunner";
import { RouteTableCache } from "./RouteTableCache";
import { RouteStateMachine } from "./RouteStateMachine";
import { MembershipManager } from "./MembershipManager";
import { SyncService } from "./SyncService";
import { createDocumentHandlers } from "./createDocumentHandlers";
import { createCoordinatorErrors } from "./createCoordinatorErrors";
import { createLogSettings } from "./createLogSettings";
import { delegateActivation } from "./delegateActivation";
import { readStatus } from "./readStatus";
import { renderStatus } from "./renderStatus";
import type { StoredDocument } from "./StoredDocument";

const groupName = "routes";
const tickIntervalMs = 20;
const exchangeIntervalMs = 200;
const bootstrapIntervalMs = 300;
/** Time until the next step after one that has failed. */
const groupStepRetryMs = 120;
/** A tick this late means that this process was stalled, so the others must not count as silent. */
const stallMs = 200;
/** After this time since its start, a coordinator has received a heartbeat of every live target. */
const registryCompleteAfterMs = 3000;
/** A coordinator whose last confirmation by the leader is older than this acknowledges no heartbeats. */
const maxConfirmationAgeMs = 1500;
/** With at least this many addresses in the caller's own failure domain, no others are listed. */
const minLocalAddresses = 3;

/** Process with a replica of the route document and the registries of targets and entries. */
export class Coordinator {
  readonly targets = new TargetRegistry();
  readonly entries = new EntryRegistry();
  readonly slowdowns = new SlowdownTable();
  readonly limits = new LimitTable();
  readonly crashes: CrashFeed;
  readonly metrics = new CoordinatorMetrics();
  readonly evacuations: EvacuationControl;
  readonly #options: CoordinatorOptions;
  readonly #errors: ErrorBoundary<CoordinatorHandler>;
  readonly #rounds: RoundRunner;
  readonly #host: GroupHost;
  readonly #links = new PeerLinks(undefined);
  readonly #peers: PeerTable;
  readonly #machine = new RouteStateMachine((ends) => {
    for (const end of ends) {
      this.targets.end(end);
    }
  });
  readonly #table: RouteTableCache;
  readonly #reports: TargetReports;
  readonly #server: RpcServer;
  readonly #metricsPage: MetricsEndpoint;
  readonly #activator: MapActivator;
  readonly #sync: SyncService;
  readonly #incarnation: string;
  readonly #startedAtMs: number;
  #group: ReplicatedGroup | null = null;
  #documents: DocumentService | null = null;
  #recorder: EndRecorder | null = null;
  #permits: PermitService | null = null;
  #exchange: RegistryExchange | null = null;
  #membership: MembershipManager | null = null;
  #reserved: Promise<void> | null = null;
  #tickedAtMs = 0;

  constructor(options: CoordinatorOptions) {
    this.#options = options;
    const { clock, random, logger, onFatal } = options;
    this.#errors = createCoordinatorErrors(logger);
    this.#rounds = new RoundRunner(this.#errors);
    this.#incarnation = `${clock.wallMs()}-${Math.floor(random() * 1e9)}`;
    this.#startedAtMs = clock.monotonicMs();
    const onChanged = (): void => this.#exchange?.sendSoon();
    const { dataFolder } = options;
    this.crashes = new CrashFeed({ incarnation: this.#incarnation, clock, onChanged, logger, dataFolder });
    this.#peers = new PeerTable(this.address);
    const { host, metricsPort: port } = options;
    const render = (): string =>
      this.metrics.render() +
      renderCounters(this.#host.dropped) +
      this.#errors.render() +
      renderStatus(this.getStatus());
    this.#metricsPage = new MetricsEndpoint({ role: "coordinator", host, port, clock, logger, render });
    const settings = createLogSettings(options);
    const links = this.#links;
    const { orders, refusedOrders } = this.metrics;
    const { openRank, decodeDocument } = options;
    this.#table = new RouteTableCache(this.#machine, decodeDocument);
    this.#activator = new MapActivator({ links, openRank, orders, refusedOrders, clock, logger });
    const { disk } = options;
    const replicas = { refusesWhenFull: false, isDurable: options.dataFolder !== null, disk };
    this.#host = new GroupHost({ settings, links, clock, random, logger, onFatal, ...replicas });
    this.#reports = new TargetReports({
      targets: this.targets,
      ends: this.#machine.ends,
      record: (report) => this.#recorder?.record(report) ?? Promise.resolve(false),
      replicate: () => this.#exchange?.sendSoon(),
      isCaughtUp: () => this.#getAgeMs() !== null,
      isComplete: () => this.#isComplete(),
      isCurrent: () => this.#isCurrent(),
      outcomes: this.metrics.ends,
      clock,
      logger,
    });
    const { targets, entries } = this;
    const registries = { failureDomain: options.failureDomain, targets, entries, peers: this.#peers };
    this.evacuations = new EvacuationControl({
      ...registries,
      table: this.#machine.evacuations,
      recorded: this.#machine.failureDomains,
      isComplete: () => this.#isComplete(),
      outcomes: this.metrics.evacuations,
      links,
      clock,
      logger,
    });
    this.#sync = new SyncService({
      ...registries,
      address: this.address,
      incarnation: this.#incarnation,
      listEnded: () => this.#reports.listEnded(),
      listUnregistered: () => this.#reports.listUnregistered(),
      slowdowns: this.slowdowns,
      crashes: this.crashes,
      limits: this.limits,
      getDocument: () => this.#machine,
      getEvacuated: () => this.#machine.evacuations.state,
      getAgeMs: () => this.#getAgeMs(),
      isComplete: () => this.#isComplete(),
      clock,
      logger,
    });
    this.#server = new RpcServer({
      handlers: this.#createHandlers(),
      onRefused: (reason, peer) => {
        logger.warn({ reason, peer }, "connection refused");
      },
      onFailed: (_, error) => {
        this.#errors.note(CoordinatorHandler.Message, error);
      },
    });
  }

  get address(): string {
    return `${this.#options.host}:${this.#options.framePort}`;
  }

  /** Takes the port for frames, once it is free; it is the lock of the data folder. What peers send waits until `start`. */
  reserve(): Promise<void> {
    const { host, framePort, logger } = this.#options;
    this.#reserved ??= this.#server.reserve(host, framePort, logger);
    return this.#reserved;
  }

  async start(): Promise<void> {
    await this.reserve();
    const { dataFolder, clock, logger, seeds, targetVoters, isBootstrap, coldBounds } = this.#options;
    const onElected = (): void => this.#recorder?.onElected();
    const group = await this.#host.open(groupName, this.#machine, onElected, dataFolder ?? undefined);
    const machine = this.#machine;
    this.#group = group;
    const { targets, limits, metrics } = this;
    const links = this.#links;
    this.#documents = new DocumentService({ address: this.address, group, machine, links, clock, logger });
    this.evacuations.open(group);
    const coldRates = new ColdRates({ targets, bounds: coldBounds, getTable: () => this.#table.get() });
    this.#recorder = new EndRecorder({ group, table: machine.ends, targets, links, clock, logger });
    this.#permits = new PermitService({ group, limits, targets, links, coldRates, metrics, clock });
    this.#membership = new MembershipManager({ group, peers: this.#peers, clock, logger, targetVoters });
    this.#exchange = new RegistryExchange({
      name: this.#options.name,
      address: this.address,
      incarnation: this.#incarnation,
      replicaId: group.core.id,
      failureDomain: this.#options.failureDomain,
      isDurable: dataFolder !== null,
      links,
      peers: this.#peers,
      targets,
      reports: this.#reports,
      entries: this.entries,
      slowdowns: this.slowdowns,
      crashes: this.crashes,
      limits: this.limits,
      isLeading: () => group.hasLease,
      errors: this.#errors,
      clock,
    });
    await this.crashes.load();
    this.#server.open();
    await this.#metricsPage.start();
    this.#peers.addHints(seeds, clock.monotonicMs());
    this.#tickedAtMs = clock.monotonicMs();
    this.#rounds.runPeriodically(tickIntervalMs, () => {
      this.#tick();
    });
    this.#rounds.runPeriodically(exchangeIntervalMs, () => this.#runExchange());
    const manager = this.#createGroupManager(group);
    void this.#rounds.repeat(groupStepRetryMs, () => manager.step());
    if (isBootstrap && dataFolder !== null && group.core.isUnused) {
      this.#rounds.runPeriodically(bootstrapIntervalMs, () => this.#host.bootstrap());
    }
    logger.info({ address: this.address, replicaId: group.core.id, isBootstrap }, "coordinator started");
  }

  /**
   * Answers the calls of other processes that were read, and rejects further ones; resolves when the process may exit, at
   * `endAtMs` of `performance.now()` in any case. The frame port stays taken until the process has ended.
   */
  async drain(endAtMs: number): Promise<void> {
    const drained = this.#server.drain(endAtMs);
    // Calls that wait for news are answered, and come again to another coordinator.
    this.#sync.close();
    this.crashes.close();
    await drained;
  }

  /** Closes at once and without cleanup, as a killed process would. */
  async close(): Promise<void> {
    this.#rounds.close();
    this.#sync.close();
    this.#recorder?.close();
    this.crashes.close();
    this.#links.close();
    this.#metricsPage.stop();
    await this.#server.close();
  }

  /** Stores a valid document durably; rejects when the outcome is unknown or nothing was stored. */
  async submitDocument(document: StoredDocument): Promise<void> {
    const { clock } = this.#options;
    const startedAtMs = clock.monotonicMs();
    try {
      await this.#requireDocuments().propose(document);
    } catch (error) {
      this.metrics.documents.add(DocumentOutcome.Unknown);
      throw error;
    }
    this.metrics.documents.add(DocumentOutcome.Acknowledged);
    this.metrics.acknowledgements.observeMs(clock.monotonicMs() - startedAtMs);
  }

  /** Reads the newest accepted document; rejects when this process cannot determine which one that is. */
  async readDocument(): Promise<StoredDocument> {
    return this.#requireDocuments().read();
  }

  /** Receives a target's heartbeat. Resolves with whether the call may be acknowledged. */
  registerTarget(target: TargetRecord): Promise<boolean> {
    return this.#reports.register(target);
  }

  /** Removes a target. Resolves with whether the call may be acknowledged. */
  removeTarget(id: string): Promise<boolean> {
    return this.#reports.remove(id);
  }

  /** Addresses of entries for a caller in a failure domain; empty when none is known. */
  listEntryAddresses(failureDomain: string): string[] {
    return this.entries.listAddresses(failureDomain, minLocalAddresses, this.#options.clock.monotonicMs());
  }

  getStatus(): CoordinatorStatus {
    const { targets, entries } = this;
    const { targetVoters, clock } = this.#options;
    const state = { group: this.#group, machine: this.#machine, targets, entries };
    return readStatus({ ...state, targetVoters, ageMs: this.#getAgeMs(), nowMs: clock.monotonicMs() });
  }

  #createGroupManager(group: ReplicatedGroup): RankGroupManager {
    const { framePort, openRank, clock, logger } = this.#options;
    return new RankGroupManager({
      framePort,
      links: this.#links,
      getTable: () => this.#table.get(),
      listTargets: () => this.targets.list(clock.monotonicMs()),
      getTerm: () => (group.hasLease ? group.core.term : null),
      openRank,
      activate: (request) =>
        delegateActivation({ peers: this.#peers, links: this.#links, clock, logger }, request),
      recordSlowdown: (id, slowdown) => {
        this.slowdowns.set(id, slowdown, clock.monotonicMs());
      },
      metrics: this.metrics,
      errors: this.#errors,
      clock,
      logger,
    });
  }

  /** Whether every live target has reported to this process. */
  #isComplete(): boolean {
    const runsForMs = this.#options.clock.monotonicMs() - this.#startedAtMs;
    return this.#reports.isCaughtUp && runsForMs > registryCompleteAfterMs;
  }

  #isCurrent(): boolean {
    return (this.#getAgeMs() ?? Infinity) < maxConfirmationAgeMs;
  }

  /** Age of the latest confirmation that this process has applied all that is committed; null when there is none. */
  #getAgeMs(): number | null {
    return this.#documents?.getAgeMs() ?? null;
  }

  #tick(): void {
    const nowMs = this.#options.clock.monotonicMs();
    const isStalled = nowMs - this.#tickedAtMs > tickIntervalMs + stallMs;
    this.#reports.expire();
    this.crashes.review();
    this.#tickedAtMs = nowMs;
    // Skipped after a stall, so that messages received meanwhile are read before timeouts are checked.
    if (!isStalled) {
      this.#host.tick();
    }
    if (this.#documents?.getAgeMs() === null) {
      void this.#rounds.run(() => this.#documents?.confirm());
    }
  }

  async #runExchange(): Promise<void> {
    const nowMs = this.#options.clock.monotonicMs();
    const members = this.#listMembers();
    this.#peers.addHints(members, nowMs);
    this.#permits?.retain(nowMs);
    void this.#rounds.run(() => this.evacuations.noteFailureDomains());
    this.#peers.removeStale([...members, ...this.#options.seeds], nowMs);
    void this.#rounds.run(() => this.#membership?.step() ?? Promise.resolve());
    void this.#rounds.run(() => this.#documents?.confirm() ?? Promise.resolve());
    await this.#exchange?.send();
  }

  #listMembers(): string[] {
    const { voters = {}, learners = {} } = this.#group?.membership ?? {};
    return [...Object.values(voters), ...Object.values(learners)].map(({ address }) => address);
  }

  #createHandlers(): Record<string, MessageHandler> {
    return {
      [MessageName.Raft]: (body) => {
        this.#host.onRaft(body);
      },
      [MessageName.ReplicaInfo]: (body) => this.#host.getInfo((body as { group: string }).group),
      [MessageName.ExchangeRegistry]: (body) => this.#exchange?.receive(body as ExchangeRequest),
      [MessageName.ActivateMap]: (body) => this.#activator.activate(body as ActivateRequest),
      [MessageName.SyncEntry]: (body) => this.#sync.sync(body as SyncRequest),
      [MessageName.AwaitFindings]: (body) => this.crashes.awaitFindings(body as AwaitFindingsRequest),
      [MessageName.TakePermits]: (body) => this.#permits?.take(body as PermitRequest),
      [MessageName.RecordEnds]: async (body) => {
        await this.#recorder?.recordAsLeader(body as readonly EndReport[]);
        return null;
      },
      ...this.evacuations.handlers,
      ...createDocumentHandlers(() => this.#requireDocuments()),
    };
  }

  #requireDocuments(): DocumentService {
    if (this.#documents === null) {
      throw new Error("the coordinator has not started");
    }
    return this.#documents;
  }
}
