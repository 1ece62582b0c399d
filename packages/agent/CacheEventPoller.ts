import type { CacheEvent } from "./CacheEvent";
import type { TargetClient } from "./TargetClient";

const pollTimeoutMs = 500;
/** Events buffered for the entries; an entry that falls further behind sees a gap in the sequence. */
const maxBufferedCount = 1024;
/** Events in one response, about 20 bytes each. */
const maxResponseCount = 64;

/** Fetches the cache events of the engine and buffers the newest ones for the entries. */
export class CacheEventPoller {
  readonly #client: TargetClient;
  readonly #path: string;
  #buffer: CacheEvent[] = [];
  #isPolling = false;

  constructor(client: TargetClient, path: string) {
    this.#client = client;
    this.#path = path;
  }

  /** Fetches the events after the newest buffered one. An engine without cache events is not an error. */
  async poll(): Promise<void> {
    if (this.#isPolling) {
      return;
    }
    this.#isPolling = true;
    try {
      const path = `${this.#path}?after=${this.#buffer.at(-1)?.[0] ?? 0}`;
      const { status, text } = await this.#client.send({ method: "GET", path, timeoutMs: pollTimeoutMs });
      if (status === 200) {
        this.#buffer = [...this.#buffer, ...parseEvents(text)].slice(-maxBufferedCount);
      }
    } catch {
      // The load poll detects an unresponsive engine; cache events only improve routing.
    } finally {
      this.#isPolling = false;
    }
  }

  /** The oldest buffered events after a sequence number, at most `limit`. */
  getAfter(sequence: number, limit: number): readonly CacheEvent[] {
    return this.#buffer
      .filter(([eventSequence]) => eventSequence > sequence)
      .slice(0, Math.min(limit, maxResponseCount));
  }
}

function parseEvents(text: string): CacheEvent[] {
  const body: unknown = JSON.parse(text);
  if (!Array.isArray(body)) {
    return [];
  }
  return (body as unknown[]).flatMap((item): CacheEvent[] => {
    const { sequence, block, stored } = (item ?? {}) as Record<string, unknown>;
    return Number.isSafeInteger(sequence) && Number.isSafeInteger(block) && typeof stored === "boolean"
      ? [[sequence as number, block as number, stored ? 1 : 0]]
      : [];
  });
}
