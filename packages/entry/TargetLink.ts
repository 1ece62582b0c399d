import { Client, Pool, request as requestHttp } from "undici";
import type { Dispatcher } from "undici";
import type { CacheEvent } from "@clementinemux/agent/CacheEvent";
import type { AgentState } from "@clementinemux/agent/AgentState";
import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import type { LoadReport } from "@clementinemux/policy/LoadReport";
import type { TargetView } from "@clementinemux/policy/TargetView";
import type { TlsFiles } from "@clementinemux/wire/TlsFiles";
import { collectBody } from "@clementinemux/wire/collectBody";

interface TargetLinkOptions {
  readonly connectTimeoutMs: number;
  readonly tls: TlsFiles | undefined;
  readonly onCacheEvents: (target: string, events: readonly CacheEvent[]) => void;
}

/** A state report with its cache events takes about 2 KB. */
const maxStateBytes = 65_536;
// A stamp is used only for this share of its permitted age, so that the request can still reach the agent.
const maxStampAgeShare = 0.8;
/** An attempt that breaks is examined at once, so that an older crash is not the one that broke it. */
const recentCrashMs = 1000;
const clientOptions = {
  pipelining: 1,
  // The entry has its own timeouts for each phase of a request.
  headersTimeout: 0,
  bodyTimeout: 0,
} as const;

/** Connections of the entry to one agent, and the last reported state of its target. */
export class TargetLink {
  readonly announcement: TargetAnnouncement;
  readonly #origin: string;
  readonly #options: TargetLinkOptions;
  #membershipWeight = 1;
  #pool: Pool;
  #pollClient: Client;
  #stamp: string | null = null;
  #stampAtMs = -Infinity;
  #accepting = false;
  #load: LoadReport | null = null;
  #canReplacePool = true;
  /** Sequence number of the last cache event received. */
  #cacheSequence = 0;
  /** Maximum number of cache events returned by one poll. */
  cacheEventLimit = 0;

  constructor(announcement: TargetAnnouncement, options: TargetLinkOptions) {
    this.announcement = announcement;
    this.#options = options;
    this.#origin = `${options.tls === undefined ? "http" : "https"}://${announcement.address}`;
    this.#pool = this.#createPool();
    this.#pollClient = this.createFreshClient();
  }

  get stamp(): string | null {
    return this.#stamp;
  }

  /** Connections for repeatable requests. */
  get pool(): Dispatcher {
    return this.#pool;
  }

  /** Creates a client without a connection, for one request that must not be written to a dead connection. */
  createFreshClient(): Client {
    return new Client(this.#origin, this.#getClientOptions());
  }

  getView(nowMs: number, permitMaxAgeMs: number): TargetView {
    const isStampFresh = nowMs - this.#stampAtMs <= permitMaxAgeMs * maxStampAgeShare;
    return {
      announcement: this.announcement,
      accepting: this.#accepting && isStampFresh,
      membershipWeight: this.#membershipWeight,
      load: this.#load,
    };
  }

  /** Sets the weight that relays assign to the target. It is below 1 while the target is suspected. */
  setMembershipWeight(weight: number): void {
    this.#membershipWeight = weight;
  }

  /** Applies the new stamp that an agent sends with a refusal. */
  updateStamp(stamp: string, nowMs: number): void {
    this.#stamp = stamp;
    this.#stampAtMs = nowMs;
  }

  /**
   * The agent rejected a request with a fresh stamp. The target is unused until a poll reports it as
   * accepting.
   */
  stopUsing(): void {
    this.#accepting = false;
  }

  /**
   * Replaces the pool after one of its connections became unresponsive. New requests do not use its other
   * connections, because they share the network path. Requests in flight on them keep their own timeouts. The
   * target is checked over a new connection.
   */
  async replacePool(timeoutMs: number, readNowMs: () => number): Promise<void> {
    if (!this.#canReplacePool) {
      return;
    }
    this.#canReplacePool = false;
    const oldPool = this.#pool;
    this.#pool = this.#createPool();
    oldPool.close().catch(() => undefined);
    this.#replacePollClient();
    await this.poll(timeoutMs, readNowMs);
    this.#canReplacePool = true;
  }

  /** Polls the agent's state. Retries once over a new connection when the first is unresponsive. */
  async poll(timeoutMs: number, readNowMs: () => number): Promise<void> {
    if (await this.#pollOnce(timeoutMs, readNowMs)) {
      return;
    }
    this.#replacePollClient();
    if (!(await this.#pollOnce(timeoutMs, readNowMs))) {
      this.#accepting = false;
      this.#replacePollClient();
    }
  }

  /**
   * Resolves with the number of the target's last crash if it is recent, as its agent counts them; 0 if the agent itself
   * refuses connections, and null for no crash.
   */
  async findCrash(timeoutMs: number): Promise<number | null> {
    const client = this.createFreshClient();
    try {
      const { body } = await requestHttp(`${this.#origin}/agent/state`, {
        dispatcher: client,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const { lastCrash = null } = parseState(await collectBody(body, maxStateBytes));
      return lastCrash !== null && lastCrash.ageMs <= recentCrashMs ? lastCrash.number : null;
    } catch (error) {
      return (error as NodeJS.ErrnoException).code === "ECONNREFUSED" ? 0 : null;
    } finally {
      client.destroy().catch(() => undefined);
    }
  }

  close(): void {
    this.#pool.close().catch(() => undefined);
    this.#pollClient.destroy().catch(() => undefined);
  }

  async destroy(): Promise<void> {
    await Promise.all([this.#pool.destroy(), this.#pollClient.destroy()]);
  }

  #getClientOptions(): Client.Options {
    const { connectTimeoutMs, tls } = this.#options;
    // Agents are identified by address, so the name in the certificate is not checked. The certificate
    // authority signs only certificates of our own processes.
    const tlsOptions = tls === undefined ? {} : { ...tls, checkServerIdentity: (): undefined => undefined };
    return { ...clientOptions, connect: { timeout: connectTimeoutMs, ...tlsOptions } };
  }

  #createPool(): Pool {
    return new Pool(this.#origin, this.#getClientOptions());
  }

  #replacePollClient(): void {
    this.#pollClient.destroy().catch(() => undefined);
    this.#pollClient = this.createFreshClient();
  }

  #getStatePath(): string {
    const query = `?cacheAfter=${this.#cacheSequence}&cacheLimit=${this.cacheEventLimit}`;
    return `/agent/state${this.cacheEventLimit > 0 ? query : ""}`;
  }

  #applyCacheEvents(events: readonly CacheEvent[]): void {
    const last = events.at(-1);
    if (last !== undefined) {
      this.#cacheSequence = last[0];
      this.#options.onCacheEvents(this.announcement.target, events);
    }
  }

  async #pollOnce(timeoutMs: number, readNowMs: () => number): Promise<boolean> {
    const sentAtMs = readNowMs();
    try {
      const { statusCode, body } = await requestHttp(`${this.#origin}${this.#getStatePath()}`, {
        dispatcher: this.#pollClient,
        signal: AbortSignal.timeout(timeoutMs),
      });
      if (statusCode !== 200) {
        await body.dump();
        return false;
      }
      const state = parseState(await collectBody(body, maxStateBytes));
      this.#stamp = state.stamp;
      // The agent may have issued the stamp any time after the request was sent.
      this.#stampAtMs = sentAtMs;
      this.#accepting = state.accepting;
      this.#applyCacheEvents(state.cacheEvents ?? []);
      if (state.load !== null) {
        const { ageMs, ...load } = state.load;
        this.#load = { ...load, measuredAtMs: readNowMs() - ageMs };
      }
      return true;
    } catch {
      return false;
    }
  }
}

function parseState(body: Buffer): AgentState {
  return JSON.parse(body.toString("utf8")) as AgentState;
}
