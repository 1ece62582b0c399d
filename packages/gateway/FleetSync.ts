import { periodic } from "most";
import type { Logger } from "roarr";
import type { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import type { Clock } from "@clementinemux/common/Clock";
import type { CrashEvidence } from "@clementinemux/crashes/CrashEvidence";
import type { CrashFindings } from "@clementinemux/crashes/CrashFindings";
import type { AwaitFindingsRequest } from "@clementinemux/registry/AwaitFindingsRequest";
import type { AwaitFindingsResponse } from "@clementinemux/registry/AwaitFindingsResponse";
import type { EntryRecord } from "@clementinemux/registry/EntryRecord";
import type { LimitTable } from "@clementinemux/registry/LimitTable";
import type { PermitRequest } from "@clementinemux/registry/PermitRequest";
import type { PermitResponse } from "@clementinemux/registry/PermitResponse";
import type { SyncRequest } from "@clementinemux/registry/SyncRequest";
import type { SyncResponse } from "@clementinemux/registry/SyncResponse";
import type { TargetIncarnation } from "@clementinemux/registry/TargetIncarnation";
import type { DocumentPart } from "@clementinemux/registry/DocumentPart";
import { documentLimits } from "@clementinemux/registry/documentLimits";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcClient } from "@clementinemux/wire/RpcClient";
import { WireErrorCode } from "@clementinemux/wire/WireErrorCode";
import { parseAddress } from "@clementinemux/wire/parseAddress";
import { DocumentFetch } from "./DocumentFetch";
import type { FleetView } from "./FleetView";
import { GatewayHandler } from "./GatewayHandler";

interface FleetSyncOptions {
  readonly view: FleetView;
  readonly getEntry: () => EntryRecord;
  /**
   * Targets that have reported to this gateway that they are leaving, but that the registry does not list as
   * leaving.
   */
  readonly listLeaving: () => readonly TargetIncarnation[];
  readonly getCrashEvidence: () => CrashEvidence;
  readonly onCrashFindings: (findings: CrashFindings) => void;
  readonly limits: LimitTable;
  /** Called for each target whose limit has changed by what the coordinator knows. */
  readonly onLimit: (id: string, limitPerS: number | null) => void;
  /** Called with each response that was applied. */
  readonly onApplied: (response: SyncResponse) => void;
  /** Frame addresses of coordinators, the nearest first; hints that may be outdated. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly errors: ErrorBoundary<GatewayHandler>;
  readonly logger: Logger;
}

const intervalMs = 200;
/**
 * Interval for retrying an unavailable coordinator while this gateway rejects requests for lack of current
 * state.
 */
const retryMs = 40;
const callTimeoutMs = 350;
const permitTimeoutMs = 300;
/** A part takes 125 ms over a link of 4.2 Mbit/s, and shares it with callers. */
const partTimeoutMs = 1500;
/** Longer than a coordinator holds its response while its findings do not change. */
const findingsTimeoutMs = 6000;
/** After this many responses in a row without current state, the gateway switches to the next coordinator. */
const maxUselessResponses = 2;
/** Time after a switch before the nearest coordinator is tried again. */
const retryNearestMs = 5000;

/**
 * Reports to a coordinator and takes over its state; switches to another one when it is unresponsive or not
 * current.
 */
export class FleetSync {
  readonly #options: FleetSyncOptions;
  readonly #documents: DocumentFetch;
  #addresses: string[];
  #client: RpcClient | null = null;
  #currentIndex = 0;
  #uselessResponses = 0;
  /** Resolves when the reports in flight and those that wait have ended; null while there are none. */
  #syncing: Promise<void> | null = null;
  #isSyncPending = false;
  #isConnected = false;
  #isClosed = false;
  #switchedAtMs = -Infinity;
  /** Connection on which this gateway waits for findings, or whose coordinator knows no such call. */
  #findingsClient: RpcClient | null = null;
  #findingsRevision = "";
  #retryTimer: NodeJS.Timeout | null = null;

  constructor(options: FleetSyncOptions) {
    this.#options = options;
    this.#addresses = [...options.seeds];
    this.#documents = new DocumentFetch({
      readPart: async (request) => {
        const result = await this.#getClient()?.call(MessageName.ReadDocumentPart, request, partTimeoutMs);
        return (result?.toMaybe().extractNullable() ?? null) as DocumentPart | null;
      },
      onFetched: () => {
        void this.sync();
      },
      logger: options.logger,
    });
  }

  start(): void {
    void periodic(intervalMs)
      .takeWhile(() => !this.#isClosed)
      .observe(() => {
        void this.sync();
      });
  }

  close(): void {
    this.#isClosed = true;
    this.#documents.close();
    clearTimeout(this.#retryTimer ?? undefined);
    this.#client?.close();
  }

  /** Sends a report now, or after the one in flight. Resolves when it was answered or has failed. */
  sync(): Promise<void> {
    if (this.#syncing !== null) {
      this.#isSyncPending = true;
      return this.#syncing;
    }
    this.#syncing = this.#reportAll().finally(() => {
      this.#syncing = null;
      this.#retrySoon();
    });
    return this.#syncing;
  }

  /** Asks the coordinators for permits. Resolves with null when none of them can grant any. Never rejects. */
  async takePermits(request: PermitRequest): Promise<PermitResponse | null> {
    const client = this.#getClient();
    const result = await client?.call(MessageName.TakePermits, request, permitTimeoutMs);
    return (result?.toMaybe().extractNullable() ?? null) as PermitResponse | null;
  }

  async #reportAll(): Promise<void> {
    do {
      this.#isSyncPending = false;
      await this.#options.errors.runAsync(GatewayHandler.Sync, () => this.#report());
    } while (this.#hasPendingSync());
  }

  #retrySoon(): void {
    const { view, clock } = this.#options;
    if (this.#retryTimer !== null || this.#isConnected || view.isFresh(clock.monotonicMs())) {
      return;
    }
    this.#retryTimer = setTimeout(() => {
      this.#retryTimer = null;
      if (!this.#isClosed) {
        void this.sync();
      }
    }, retryMs);
  }

  #hasPendingSync(): boolean {
    return this.#isSyncPending;
  }

  async #report(): Promise<void> {
    const { view, clock, getEntry, listLeaving, getCrashEvidence, limits, logger } = this.#options;
    const client = this.#getClient();
    if (client === null) {
      return;
    }
    const sentAtMs = clock.monotonicMs();
    const request: SyncRequest = {
      entry: getEntry(),
      documentVersion: view.version,
      maxDocumentBytes: documentLimits.partBytes,
      registryState: view.registryState,
      leaving: listLeaving(),
      crashes: getCrashEvidence(),
      limits: limits.listOwn(sentAtMs),
      evacuationRevision: view.evacuated.revision,
    };
    const result = await client.call(MessageName.SyncEntry, request, callTimeoutMs);
    const isUseful = result.caseOf({
      Left: () => false,
      Right: (body) => this.#apply(body as SyncResponse, sentAtMs),
    });
    if (isUseful !== this.#isConnected) {
      this.#isConnected = isUseful;
      const why = result.swap().toMaybe().extractNullable()?.message ?? null;
      const { host, port } = client.address;
      logger.info({ coordinator: `${host}:${port}`, isUseful, why, version: view.version }, "coordinator");
    }
    this.#uselessResponses = isUseful ? 0 : this.#uselessResponses + 1;
    if (isUseful) {
      void this.#options.errors.runAsync(GatewayHandler.Sync, () => this.#awaitFindings(client));
    }
    const isUnresponsive = result.isLeft();
    if (isUnresponsive || this.#uselessResponses >= maxUselessResponses) {
      this.#switchCoordinator();
    }
  }

  /** Takes over findings on crashes as soon as the coordinator has them. */
  async #awaitFindings(client: RpcClient): Promise<void> {
    if (this.#findingsClient === client) {
      return;
    }
    this.#findingsClient = client;
    while (!this.#isClosed && this.#client === client) {
      const request: AwaitFindingsRequest = { revision: this.#findingsRevision };
      const result = await client.call(MessageName.AwaitFindings, request, findingsTimeoutMs);
      const error = result.swap().toMaybe().extractNullable();
      if (error !== null) {
        // A coordinator of an earlier release knows no such call; after other errors the next report asks again.
        this.#findingsClient = error.code === WireErrorCode.Remote ? client : null;
        return;
      }
      result.ifRight((body) => {
        const { revision, findings } = body as AwaitFindingsResponse;
        this.#findingsRevision = revision;
        this.#options.onCrashFindings(findings);
      });
    }
  }

  /** Returns whether the response was useful; one that cannot be applied counts like one without current state. */
  #apply(received: SyncResponse, sentAtMs: number): boolean {
    try {
      const response = this.#documents.complete(received, this.#options.view.version);
      this.#addCoordinators(response.coordinators);
      const isCurrent = this.#update(response, sentAtMs);
      if (response.crashes !== undefined) {
        this.#options.onCrashFindings(response.crashes);
      }
      // What is known of limits is at least as new as the report.
      for (const { id, limitPerS } of this.#options.limits.merge(response.limits ?? [], sentAtMs)) {
        this.#options.onLimit(id, limitPerS);
      }
      this.#options.onApplied(response);
      this.#preferNearest(response.nearest, sentAtMs);
      return isCurrent;
    } catch (error) {
      this.#options.errors.note(GatewayHandler.Sync, error);
      return false;
    }
  }

  #update(response: SyncResponse, sentAtMs: number): boolean {
    const { view, logger } = this.#options;
    const { endedListed, evacuated } = view;
    try {
      const isCurrent = view.update(response, sentAtMs);
      if (view.endedListed !== endedListed) {
        logger.info({ endedListed: view.endedListed }, "list with targets that have ended");
      }
      return isCurrent;
    } catch (error) {
      logger.error({ error: String(error) }, "document cannot be decoded");
      return false;
    } finally {
      if (view.evacuated !== evacuated) {
        logger.info({ ...view.evacuated }, "evacuated failure domains changed");
      }
    }
  }

  #addCoordinators(addresses: readonly string[]): void {
    const unknown = addresses.filter((address) => !this.#addresses.includes(address));
    // The order is kept, with the nearest coordinator first. Addresses that are no longer listed stay until
    // the list grows too long, and fail when tried.
    this.#addresses.push(...unknown);
    if (addresses.length > 0 && this.#addresses.length > addresses.length + this.#options.seeds.length) {
      const current = this.#addresses[this.#currentIndex];
      const { seeds } = this.#options;
      this.#addresses = this.#addresses.filter((item) => addresses.includes(item) || seeds.includes(item));
      this.#currentIndex = Math.max(0, this.#addresses.indexOf(current ?? ""));
    }
  }

  #preferNearest(nearest: string | null, nowMs: number): void {
    const at = nearest === null ? -1 : this.#addresses.indexOf(nearest);
    if (at >= 0 && at !== this.#currentIndex && nowMs - this.#switchedAtMs > retryNearestMs) {
      this.#switchedAtMs = nowMs;
      this.#client?.close();
      this.#client = null;
      this.#currentIndex = at;
    }
  }

  #switchCoordinator(): void {
    this.#switchedAtMs = this.#options.clock.monotonicMs();
    this.#client?.close();
    this.#client = null;
    this.#uselessResponses = 0;
    this.#currentIndex = (this.#currentIndex + 1) % Math.max(1, this.#addresses.length);
  }

  #getClient(): RpcClient | null {
    const address = this.#addresses[this.#currentIndex];
    if (this.#client === null && address !== undefined) {
      this.#client = new RpcClient({ address: parseAddress(address), connectTimeoutMs: callTimeoutMs });
    }
    return this.#client;
  }
}
