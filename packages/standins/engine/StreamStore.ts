import type { EngineStream } from "./EngineStream";

/** Streams whose state the engine holds: running ones, and for a time those without a receiver. */
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

  dropOld(nowMs: number): void {
    for (const [attemptId, stream] of this.#streams) {
      if (stream.send === null && nowMs > stream.droppedAtMs) {
        this.#streams.delete(attemptId);
      }
    }
  }
}
