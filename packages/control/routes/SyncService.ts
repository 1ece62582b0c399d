import { setTimeout as delay } from "node:timers/promises";
import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import type { EvacuatedDomains } from "@clementinemux/registry/EvacuatedDomains";
import type { EntryRegistry } from "@clementinemux/registry/EntryRegistry";
import type { LimitTable } from "@clementinemux/registry/LimitTable";
import type { SlowdownTable } from "@clementinemux/registry/SlowdownTable";
import type { SyncRequest } from "@clementinemux/registry/SyncRequest";
import type { SyncResponse } from "@clementinemux/registry/SyncResponse";
import type { TargetIncarnation } from "@clementinemux/registry/TargetIncarnation";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { TargetRegistry } from "@clementinemux/registry/TargetRegistry";
import type { CrashFeed } from "./CrashFeed";
import type { PeerTable } from "./PeerTable";
import type { StoredDocument } from "./StoredDocument";

interface SyncServiceOptions {
  readonly address: string;
  readonly failureDomain: string;
  readonly incarnation: string;
  readonly targets: TargetRegistry;
  /** Records of targets whose end is recorded, and that the registry does not hold. */
  readonly listEnded: () => readonly TargetRecord[];
  /** Incarnations that have unregistered lately. */
  readonly listUnregistered: () => readonly TargetIncarnation[];
  readonly entries: EntryRegistry;
  readonly slowdowns: SlowdownTable;
  readonly crashes: CrashFeed;
  readonly limits: LimitTable;
  readonly peers: PeerTable;
  readonly getDocument: () => StoredDocument;
  readonly getEvacuated: () => EvacuatedDomains;
  /** Age of the confirmation that no newer document exists, in ms; null when there is none. */
  readonly getAgeMs: () => number | null;
  /** Whether every live target has reported to this process. */
  readonly isComplete: () => boolean;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Longest delay of a response while this process does not know yet whether its document is current. */
const maxWaitMs = 150;
const waitStepMs = 20;

/** Handles the reports of gateways: records what they report, and returns the state that they lack. */
export class SyncService {
  readonly #options: SyncServiceOptions;
  #isClosed = false;

  constructor(options: SyncServiceOptions) {
    this.#options = options;
  }

  async sync(request: SyncRequest): Promise<SyncResponse> {
    const { entry, documentVersion, registryState, leaving } = request;
    const { targets, entries, slowdowns, crashes, limits, peers, clock, logger } = this.#options;
    entries.put(entry, clock.monotonicMs(), null);
    if (request.crashes !== undefined) {
      crashes.merge(request.crashes);
    }
    for (const { id, limitPerS } of limits.mergeOwn(request.limits ?? [], clock.monotonicMs())) {
      logger.info({ id, limitPerS, entry: entry.name }, "limit of a target");
    }
    for (const { id } of leaving.filter((incarnation) => targets.markLeaving(incarnation))) {
      logger.info({ id, entry: entry.name }, "target leaves by its answers");
    }
    await this.#waitUntilConfirmed();
    const { address, failureDomain, incarnation, getDocument, getAgeMs } = this.#options;
    const nowMs = clock.monotonicMs();
    const { version, bytes } = getDocument();
    const { revision, failureDomains } = this.#options.getEvacuated();
    targets.markSilent(nowMs);
    const state = `${incarnation}:${targets.lastChangeNumber}`;
    const isComplete = this.#options.isComplete();
    const inFlight = entries.sumInFlight(entry.name, nowMs);
    const remainingCs = entries.sumRemaining(entry.name, Object.keys(inFlight), nowMs);
    const gone = isComplete ? [] : [...targets.listGone(), ...this.#options.listEnded()];
    return {
      ageMs: getAgeMs(),
      documentVersion: version,
      document:
        version > documentVersion && bytes.length <= (request.maxDocumentBytes ?? Infinity) ? bytes : null,
      registryState: state,
      targets: state === registryState ? null : [...targets.list(nowMs), ...gone],
      ended: state === registryState ? [] : this.#options.listUnregistered(),
      isComplete,
      inFlight,
      ...(remainingCs === null ? {} : { remainingCs }),
      waiting: entries.sumWaiting(entry.name, nowMs),
      paces: slowdowns.list(nowMs),
      liveEntries: entries.countLive(nowMs),
      crashes: crashes.getFindings(),
      limits: limits.list(nowMs),
      ...(revision > (request.evacuationRevision ?? 0) ? { evacuated: { revision, failureDomains } } : {}),
      cold: targets.listCold(nowMs),
      nearest:
        entry.failureDomain === failureDomain
          ? address
          : peers.findInFailureDomain(entry.failureDomain, nowMs),
      coordinators: [address, ...peers.peers.map((peer) => peer.address)],
    };
  }

  close(): void {
    this.#isClosed = true;
  }

  /**
   * After a start, entries reject requests until a response is current, so the response waits a moment for
   * that.
   */
  async #waitUntilConfirmed(): Promise<void> {
    const { clock, getAgeMs } = this.#options;
    const endAtMs = clock.monotonicMs() + maxWaitMs;
    while (!this.#isClosed && getAgeMs() === null && clock.monotonicMs() < endAtMs) {
      await delay(waitStepMs);
    }
  }
}
