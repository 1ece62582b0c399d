import type { EngineStream } from "./EngineStream";

interface BatcherOptions {
  readonly batchLimitCount: number;
  readonly stepMs: number;
  readonly stepPerRequestMs: number;
}

/**
 * Continuous batching: each step yields one token for every stream in the batch. The caller passes the
 * current time.
 */
export class Batcher {
  readonly #options: BatcherOptions;
  readonly #running = new Set<EngineStream>();
  #waiting: EngineStream[] = [];

  constructor(options: BatcherOptions) {
    this.#options = options;
  }

  get runningCount(): number {
    return this.#running.size;
  }

  get queuedCount(): number {
    return this.#waiting.length;
  }

  get tokenCount(): number {
    return [...this.#running].reduce((sum, { prompt, tokens }) => sum + prompt.length / 4 + tokens.length, 0);
  }

  /** Duration of the next step, which grows with the batch. */
  get stepMs(): number {
    return this.#options.stepMs + this.#options.stepPerRequestMs * Math.max(0, this.#running.size - 1);
  }

  add(stream: EngineStream): void {
    this.#waiting.push(stream);
    this.#waiting.sort((left, right) => right.priority - left.priority);
  }

  remove(stream: EngineStream): void {
    this.#running.delete(stream);
    this.#waiting = this.#waiting.filter((other) => other !== stream);
  }

  /** Runs one step at the given engine time. */
  step(nowMs: number): void {
    this.#admitWaiting();
    for (const stream of [...this.#running]) {
      if (nowMs >= stream.readyAtMs && stream.canSend()) {
        this.#sendNextToken(stream);
      }
    }
  }

  #admitWaiting(): void {
    while (this.#running.size < this.#options.batchLimitCount) {
      const next = this.#waiting.shift();
      if (next === undefined) {
        return;
      }
      this.#running.add(next);
    }
  }

  #sendNextToken(stream: EngineStream): void {
    if (stream.nextTokenIndex < stream.maxTokenCount) {
      while (stream.tokens.length <= stream.nextTokenIndex) {
        stream.tokens.push(stream.source.next());
      }
      const index = stream.nextTokenIndex;
      stream.nextTokenIndex += 1;
      stream.send?.(stream.tokens[index] ?? "", index);
    }
    if (stream.nextTokenIndex >= stream.maxTokenCount && this.#running.delete(stream)) {
      stream.finish?.();
    }
  }
}
