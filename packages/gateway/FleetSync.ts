import { periodic } from "most";
import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import type { EntryRecord } from "@clementinemux/registry/EntryRecord";
import type { SyncRequest } from "@clementinemux/registry/SyncRequest";
import type { SyncResponse } from "@clementinemux/registry/SyncResponse";
import type { TargetLife } from "@clementinemux/registry/TargetLife";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcClient } from "@clementinemux/wire/RpcClient";
import { parseAddress } from "@clementinemux/wire/parseAddress";
import type { FleetView } from "./FleetView";

interface FleetSyncOptions {
  readonly view: FleetView;
  readonly getEntry: () => EntryRecord;
  /**
   * Targets that have reported to this gateway that they are leaving, but that the registry does not list as
   * leaving.
   */
  readonly listLeaving: () => readonly TargetLife[];
  /** Frame addresses of coordinators, the nearest first; hints that may be outdated. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly logger: Logger;
}

const intervalMs = 200;
/**
 * Interval for retrying an unavailable coordinator while this gateway rejects requests for lack of current
 * state.
 */
const retryMs = 40;
const callTimeoutMs = 350;
/** After this many responses in a row without current state, the gateway switches to the next coordinator. */
const maxUseless = 2;
/** Time after a switch before the nearest coordinator is tried again. */
const retryNearestMs = 5000;

/**
 * Reports to a coordinator and takes over its state; switches to another one when it is unresponsive or not
 * current.
 */
export class FleetSync {
  readonly #options: FleetSyncOptions;
  #addresses: string[];
  #client: RpcClient | null = null;
  #next = 0;
  #useless = 0;
  #isBusy = false;
  #isAgain = false;
  #isConnected = false;
  #isClosed = false;
  #movedAtMs = -Infinity;
  #retryTimer: NodeJS.Timeout | null = null;

  constructor(options: FleetSyncOptions) {
    this.#options = options;
    this.#addresses = [...options.seeds];
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
    clearTimeout(this.#retryTimer ?? undefined);
    this.#client?.close();
  }

  /** Sends a report now; if a report is already in flight, sends another one after it. */
  async sync(): Promise<void> {
    if (this.#isBusy) {
      this.#isAgain = true;
      return;
    }
    this.#isBusy = true;
    do {
      this.#isAgain = false;
      await this.#report();
    } while (this.#hasMore());
    this.#isBusy = false;
    this.#retrySoon();
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

  #hasMore(): boolean {
    return this.#isAgain;
  }

  async #report(): Promise<void> {
    const { view, clock, getEntry, listLeaving, logger } = this.#options;
    const client = this.#getClient();
    if (client === null) {
      return;
    }
    const sentAtMs = clock.monotonicMs();
    const request: SyncRequest = {
      entry: getEntry(),
      documentVersion: view.version,
      registryState: view.registryState,
      leaving: listLeaving(),
    };
    const answer = await client.call(MessageName.SyncEntry, request, callTimeoutMs);
    const isUseful = answer.caseOf({
      Left: () => false,
      Right: (body) => {
        const response = body as SyncResponse;
        this.#learn(response.coordinators);
        const isCurrent = this.#update(response, sentAtMs);
        this.#preferNearest(response.nearest, sentAtMs);
        return isCurrent;
      },
    });
    if (isUseful !== this.#isConnected) {
      this.#isConnected = isUseful;
      const why = answer.swap().toMaybe().extractNullable()?.message ?? null;
      const { host, port } = client.address;
      logger.info({ coordinator: `${host}:${port}`, isUseful, why, version: view.version }, "coordinator");
    }
    this.#useless = isUseful ? 0 : this.#useless + 1;
    const isSilent = answer.isLeft();
    if (isSilent || this.#useless >= maxUseless) {
      this.#moveOn();
    }
  }

  #update(response: SyncResponse, sentAtMs: number): boolean {
    try {
      return this.#options.view.update(response, sentAtMs);
    } catch (error) {
      this.#options.logger.error({ error: String(error) }, "document cannot be decoded");
      return false;
    }
  }

  #learn(addresses: readonly string[]): void {
    const unknown = addresses.filter((address) => !this.#addresses.includes(address));
    // The order is kept, with the nearest coordinator first. Addresses that are no longer listed stay until
    // the list grows too long, and fail when tried.
    this.#addresses.push(...unknown);
    if (addresses.length > 0 && this.#addresses.length > addresses.length + this.#options.seeds.length) {
      const current = this.#addresses[this.#next];
      const { seeds } = this.#options;
      this.#addresses = this.#addresses.filter((item) => addresses.includes(item) || seeds.includes(item));
      this.#next = Math.max(0, this.#addresses.indexOf(current ?? ""));
    }
  }

  #preferNearest(nearest: string | null, nowMs: number): void {
    const at = nearest === null ? -1 : this.#addresses.indexOf(nearest);
    if (at >= 0 && at !== this.#next && nowMs - this.#movedAtMs > retryNearestMs) {
      this.#movedAtMs = nowMs;
      this.#client?.close();
      this.#client = null;
      this.#next = at;
    }
  }

  #moveOn(): void {
    this.#movedAtMs = this.#options.clock.monotonicMs();
    this.#client?.close();
    this.#client = null;
    this.#useless = 0;
    this.#next = (this.#next + 1) % Math.max(1, this.#addresses.length);
  }

  #getClient(): RpcClient | null {
    const address = this.#addresses[this.#next];
    if (this.#client === null && address !== undefined) {
      this.#client = new RpcClient({ address: parseAddress(address), connectTimeoutMs: callTimeoutMs });
    }
    return this.#client;
  }
}
