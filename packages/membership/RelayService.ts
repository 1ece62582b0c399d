import { periodic } from "most";
import { SystemClock } from "@clementinemux/common/SystemClock";
import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import type { EntryAnnouncement } from "@clementinemux/messages/EntryAnnouncement";
import { writeDiagnostic } from "@clementinemux/logging/writeDiagnostic";
import { Counters } from "@clementinemux/metrics/Counters";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { MessageHandler } from "@clementinemux/wire/MessageHandler";
import { RpcClient } from "@clementinemux/wire/RpcClient";
import { parseAddress } from "@clementinemux/wire/parseAddress";
import type { AnnounceRequest } from "./AnnounceRequest";
import type { AnnounceResult } from "./AnnounceResult";
import { Directory } from "./Directory";
import type { DirectorySyncRequest } from "./DirectorySyncRequest";
import type { DirectorySyncResponse } from "./DirectorySyncResponse";
import { EntryExpiry } from "./EntryExpiry";
import type { FetchEntriesRequest } from "./FetchEntriesRequest";
import type { FetchTargetsRequest } from "./FetchTargetsRequest";
import type { FleetCounts } from "./FleetCounts";
import type { HeartbeatRequest } from "./HeartbeatRequest";
import type { ProbeRequest } from "./ProbeRequest";
import type { ProbeResponse } from "./ProbeResponse";
import { RecordKind } from "./RecordKind";
import type { RelayOptions } from "./RelayOptions";
import { FailureDetector } from "./FailureDetector";
import type { FailureDetectorAction } from "./FailureDetectorAction";
import { FailureDetectorActionKind } from "./FailureDetectorActionKind";
import { FailureDetectorEvent } from "./FailureDetectorEvent";
import { DirectoryQuery } from "./DirectoryQuery";
import { createFailureDetectorSettings } from "./createFailureDetectorSettings";
import { probeAgent } from "./probeAgent";

interface Peer {
  readonly client: RpcClient;
  /** Taken from the peer's responses to `probe`; null before the first one. */
  failureDomain: string | null;
}

const probeTimeoutMs = 500;
const incarnationDigits = 14;
const adoptionTimeoutCount = 2;
// Maintenance scans the whole directory, which is not needed at every tick.
const maintenanceIntervalMs = 2000;

/** Membership service of a control process: maintains the directory of announced targets and entries. */
export class RelayService {
  readonly counters = new Counters(
    "clementinemux_suspicion_events_total",
    "reason",
    Object.values(FailureDetectorEvent),
  );

  readonly #options: RelayOptions;
  readonly #directory: Directory;
  readonly #query: DirectoryQuery;
  readonly #failureDetector: FailureDetector;
  readonly #entryExpiry = new EntryExpiry();
  readonly #peers: readonly Peer[];
  readonly #syncing = new Set<Peer>();
  #counts: FleetCounts = { fleetCount: 0, countByDomain: new Map() };
  #countsVersion = -1;
  #lastMaintenanceMs = -Infinity;
  #tickDueMs = 0;
  #nextPeerIndex = 0;
  #isStopped = false;

  constructor(options: Partial<RelayOptions> = {}) {
    const clock = options.clock ?? new SystemClock();
    const { tls } = options;
    this.#options = {
      name: "relay",
      failureDomain: "",
      peers: [],
      tls,
      clock,
      random: Math.random,
      failureDetector: {},
      tickIntervalMs: 250,
      syncIntervalMs: 500,
      rpcTimeoutMs: 1000,
      suspectWeight: 0.1,
      onError: (error) => {
        writeDiagnostic(
          `relay: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`,
        );
      },
      probe: (request, timeoutMs) => probeAgent(request, timeoutMs, tls),
      ...options,
    };
    const startedAt = String(Math.floor(clock.wallMs())).padStart(incarnationDigits, "0");
    const suffix = Math.floor(this.#options.random() * 0x1_0000_0000).toString(16);
    this.#directory = new Directory({ origin: `${this.#options.name}/${startedAt}-${suffix}` });
    this.#query = new DirectoryQuery(this.#directory);
    this.#failureDetector = new FailureDetector(
      { ...createFailureDetectorSettings(this.#options.failureDomain), ...this.#options.failureDetector },
      (reason) => {
        this.counters.add(reason);
      },
    );
    this.#peers = this.#options.peers.map((peer) => ({
      client: new RpcClient({ address: parseAddress(peer), tls }),
      failureDomain: null,
    }));
    this.#nextPeerIndex = Math.floor(this.#options.random() * Math.max(1, this.#peers.length));
  }

  /** Handlers that the control process adds to its frame server. */
  readonly handlers: Readonly<Record<string, MessageHandler>> = {
    [MessageName.Announce]: (body) => this.#onAnnounce(body as AnnounceRequest),
    [MessageName.Heartbeat]: (body) => this.#onHeartbeat(body as HeartbeatRequest),
    [MessageName.AnnounceEntry]: (body) => this.#onAnnounceEntry(body as EntryAnnouncement),
    [MessageName.FetchEntries]: (body) => {
      const request = (body ?? {}) as FetchEntriesRequest;
      return request.since === undefined ? this.entries() : this.#query.fetchEntries(request);
    },
    [MessageName.FetchTargets]: (body) => {
      const request = (body ?? {}) as FetchTargetsRequest;
      return request.since === undefined ? this.#directory.targets() : this.#query.fetchTargets(request);
    },
    [MessageName.DirectorySync]: (body) => this.#directory.sync(body as DirectorySyncRequest),
    [MessageName.Probe]: (body) => this.#onProbe(body as ProbeRequest),
  };

  get directory(): Directory {
    return this.#directory;
  }

  /** Currently announced entries, including those that are leaving. */
  entries(): EntryAnnouncement[] {
    return this.#directory.entries();
  }

  /** Starts to check targets for failures and to exchange the directory with the peers. */
  start(): void {
    const { tickIntervalMs, syncIntervalMs, random, clock } = this.#options;
    this.#tickDueMs = clock.monotonicMs();
    void periodic(tickIntervalMs)
      .takeWhile(() => !this.#isStopped)
      .observe(() => {
        try {
          this.tick(this.#tickDueMs);
        } catch (error) {
          // An exception would end the stream, and no target would be checked any more.
          this.#options.onError(error);
        }
        this.#tickDueMs = clock.monotonicMs() + tickIntervalMs;
      });
    const schedule = (): void => {
      // Jitter keeps relays that started together from sending their requests at the same time.
      const delayMs = syncIntervalMs * (0.75 + random() / 2);
      setTimeout(() => {
        if (!this.#isStopped) {
          this.#runSafely(this.syncNext());
          schedule();
        }
      }, delayMs).unref();
    };
    schedule();
  }

  stop(): void {
    this.#isStopped = true;
    for (const { client } of this.#peers) {
      client.close();
    }
  }

  /** Checks all targets and entries once. `dueMs` is the time for which the tick was scheduled. */
  tick(dueMs: number): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#directory.beat(nowMs);
    const counts = this.#getCounts();
    this.#execute(this.#failureDetector.tick(nowMs, dueMs, counts));
    for (const { entry, incarnation } of this.#entryExpiry.findExpired(this.#directory.entries(), nowMs)) {
      this.#directory.remove(RecordKind.Entry, entry, incarnation, nowMs);
    }
    if (nowMs - this.#lastMaintenanceMs >= maintenanceIntervalMs) {
      this.#lastMaintenanceMs = nowMs;
      this.#adoptOrphans(nowMs);
      this.#directory.collectGarbage(nowMs);
    }
  }

  /** Fetches changes from the next peer in turn. */
  async syncNext(): Promise<void> {
    const peer = this.#peers[this.#nextPeerIndex % this.#peers.length];
    this.#nextPeerIndex += 1;
    if (peer === undefined || this.#syncing.has(peer)) {
      return;
    }
    this.#syncing.add(peer);
    try {
      for (let more = true; more && !this.#isStopped;) {
        const request = this.#directory.createSyncRequest();
        const reply = await peer.client.call(MessageName.DirectorySync, request, this.#options.rpcTimeoutMs);
        const response = reply.toMaybe().extractNullable() as DirectorySyncResponse | null;
        if (response === null) {
          return;
        }
        this.#directory.apply(response, this.#options.clock.monotonicMs());
        more = response.more;
      }
    } finally {
      this.#syncing.delete(peer);
    }
  }

  /** Reports an exception of a task that nobody waits for, such as one over an odd response. */
  #runSafely(task: Promise<void>): void {
    task.catch((error: unknown) => {
      this.#options.onError(error);
    });
  }

  #onAnnounce({ leaving = false, ...announcement }: AnnounceRequest): AnnounceResult {
    const nowMs = this.#options.clock.monotonicMs();
    const result = this.#directory.announceTarget(announcement, leaving, nowMs);
    if (result.accepted && leaving) {
      this.#failureDetector.forget(announcement.target);
    } else if (result.accepted) {
      this.#recordContact(announcement, nowMs);
    }
    return result;
  }

  #onHeartbeat({ target, incarnation }: HeartbeatRequest): AnnounceResult {
    const nowMs = this.#options.clock.monotonicMs();
    const result = this.#directory.checkHeartbeat(RecordKind.Target, target, incarnation);
    const announcement = this.#directory.get(RecordKind.Target, target)?.announcement;
    if (result.accepted && announcement !== null && announcement !== undefined) {
      this.#recordContact(announcement as TargetAnnouncement, nowMs);
    }
    return result;
  }

  #recordContact({ target, incarnation, failureDomain }: TargetAnnouncement, nowMs: number): void {
    this.#execute(this.#failureDetector.recordContact(target, incarnation, failureDomain, nowMs));
  }

  #onAnnounceEntry(announcement: EntryAnnouncement): AnnounceResult {
    const nowMs = this.#options.clock.monotonicMs();
    const result = this.#directory.announceEntry(announcement, nowMs);
    if (result.accepted) {
      this.#entryExpiry.recordContact(announcement.entry, nowMs);
    }
    return result;
  }

  /** Recounts the targets only after a change, since a tick runs several times a second. */
  #getCounts(): FleetCounts {
    if (this.#countsVersion !== this.#directory.version) {
      const countByDomain = new Map<string, number>();
      const targets = this.#directory.targets();
      for (const { failureDomain } of targets) {
        countByDomain.set(failureDomain, (countByDomain.get(failureDomain) ?? 0) + 1);
      }
      this.#counts = { fleetCount: targets.length, countByDomain };
      this.#countsVersion = this.#directory.version;
    }
    return this.#counts;
  }

  async #onProbe(request: ProbeRequest): Promise<ProbeResponse> {
    const reached = await this.#options.probe(request, probeTimeoutMs);
    return { reached, failureDomain: this.#options.failureDomain };
  }

  /**
   * Takes over the records of a relay that is gone. Records of processes that contact this relay are taken
   * over at once. The others are taken over after a second timeout, within which the relays that these
   * processes contact can take them over.
   */
  #adoptOrphans(nowMs: number): void {
    for (const { target, incarnation, failureDomain } of this.#directory.targets()) {
      const record = this.#directory.get(RecordKind.Target, target);
      if (record === undefined || !this.#directory.isOrphaned(record, nowMs)) {
        continue;
      }
      if (this.#failureDetector.isAlive(target)) {
        this.#directory.takeOver(RecordKind.Target, target, nowMs);
      } else if (this.#directory.isOrphaned(record, nowMs, adoptionTimeoutCount)) {
        this.#failureDetector.adopt(target, incarnation, failureDomain, nowMs);
      }
    }
    for (const { entry } of this.#directory.entries()) {
      const record = this.#directory.get(RecordKind.Entry, entry);
      if (record === undefined || !this.#directory.isOrphaned(record, nowMs)) {
        continue;
      }
      if (this.#entryExpiry.hasContact(entry)) {
        this.#directory.takeOver(RecordKind.Entry, entry, nowMs);
      } else if (this.#directory.isOrphaned(record, nowMs, adoptionTimeoutCount)) {
        this.#entryExpiry.recordContact(entry, nowMs);
      }
    }
  }

  #execute(actions: readonly FailureDetectorAction[]): void {
    const nowMs = this.#options.clock.monotonicMs();
    const handlers: Readonly<Record<FailureDetectorActionKind, (action: FailureDetectorAction) => void>> = {
      [FailureDetectorActionKind.Probe]: (action) => {
        this.#runSafely(this.#probe(action));
      },
      [FailureDetectorActionKind.RequestPeerProbe]: (action) => {
        this.#runSafely(this.#requestPeerProbe(action));
      },
      [FailureDetectorActionKind.Remove]: ({ target, incarnation }) => {
        this.#directory.remove(RecordKind.Target, target, incarnation, nowMs);
      },
      [FailureDetectorActionKind.LowerWeight]: ({ target, incarnation }) => {
        this.#directory.setWeight(target, incarnation, this.#options.suspectWeight, nowMs);
      },
      [FailureDetectorActionKind.RestoreWeight]: ({ target, incarnation }) => {
        this.#directory.setWeight(target, incarnation, 1, nowMs);
      },
    };
    for (const action of actions) {
      handlers[action.kind](action);
    }
  }

  async #probe(action: FailureDetectorAction): Promise<void> {
    const request = this.#createProbeRequest(action);
    if (request === null) {
      this.#failureDetector.forget(action.target);
      return;
    }
    const startedAtMs = this.#options.clock.monotonicMs();
    const reached = await this.#options.probe(request, probeTimeoutMs);
    this.#onProbeResult(action, this.#options.failureDomain, reached, startedAtMs);
  }

  /**
   * Requests a probe from one peer after another, until a peer outside the excluded failure domains has
   * tried.
   */
  async #requestPeerProbe(action: FailureDetectorAction): Promise<void> {
    const request = this.#createProbeRequest(action);
    const offset = Math.floor(this.#options.random() * this.#peers.length);
    for (let turn = 0; request !== null && turn < this.#peers.length; turn += 1) {
      const peer = this.#peers[(offset + turn) % this.#peers.length];
      if (peer === undefined || action.excludedDomains.includes(peer.failureDomain ?? "")) {
        continue;
      }
      const startedAtMs = this.#options.clock.monotonicMs();
      const reply = await peer.client.call(MessageName.Probe, request, this.#options.rpcTimeoutMs);
      const response = reply.toMaybe().extractNullable() as ProbeResponse | null;
      if (response === null) {
        continue;
      }
      peer.failureDomain = response.failureDomain;
      if (!action.excludedDomains.includes(response.failureDomain)) {
        this.#onProbeResult(action, response.failureDomain, response.reached, startedAtMs);
        return;
      }
    }
  }

  #createProbeRequest({ target, incarnation }: FailureDetectorAction): ProbeRequest | null {
    const record = this.#directory.get(RecordKind.Target, target);
    const announcement = record?.announcement as TargetAnnouncement | null | undefined;
    return announcement?.incarnation === incarnation
      ? { target, incarnation, address: announcement.address }
      : null;
  }

  #onProbeResult(
    { target, incarnation }: FailureDetectorAction,
    observerDomain: string,
    reached: boolean,
    startedAtMs: number,
  ): void {
    const result = { target, incarnation, observerDomain, reached, startedAtMs };
    this.#execute(this.#failureDetector.onProbeResult(result, this.#options.clock.monotonicMs()));
  }
}
