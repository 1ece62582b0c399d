import type { EngineStream } from "./EngineStream";

/**
 * Streams whose state the engine keeps: running ones, and those without a connected caller until they expire.
 */
export class StreamStore {
  readonly #streams = new Map<string, EngineStream>();

  get(attemptId: string): EngineStream | null {
    return this.#streams.get(attemptId) ?? null;
  }

  add(stream: EngineStream): void {
    this.#streams.set(stream.attemptId, stream);
  }

  remove(attemptId: string): void {
    this.#streams.delete(attemptId);
  }

  evictExpired(nowMs: number): void {
    for (const [attemptId, stream] of this.#streams) {
      if (stream.send === null && nowMs > stream.expiresAtMs) {
        this.#streams.delete(attemptId);
      }
    }
  }
}
