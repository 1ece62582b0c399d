import type { LoadReport } from "@clementinemux/policy/LoadReport";
import type { EngineJob } from "./EngineJob";
import type { EventQueue } from "./EventQueue";
import { engineModel } from "./engineModel";

interface RunningJob {
  readonly job: EngineJob;
  prefillLeft: number;
  position: number;
}

interface CacheEvent {
  readonly sequence: number;
  readonly stored: readonly number[];
  readonly evicted: readonly number[];
}

/** Model of a batching engine with priorities, chunked prefill and a prefix cache. */
export class ModelEngine {
  /** Factor on all step times; 1 is normal speed. */
  slowdown = 1;
  /** Share of jobs that fail shortly after their arrival. */
  errorShare = 0;
  /** Share of jobs that fail after their complete prefill and before their first token. */
  prefillErrorShare = 0;
  computedTokenCount = 0;
  readonly cacheEvents: CacheEvent[] = [];
  readonly #events: EventQueue;
  readonly #random: () => number;
  readonly #waiting: EngineJob[] = [];
  #running: RunningJob[] = [];
  readonly #cache = new Map<number, null>();
  readonly #failing = new Set<string>();
  #isStepping = false;
  #lastStepMs: number = engineModel.stepMs;
  #sequence = 0;

  constructor(events: EventQueue, random: () => number) {
    this.#events = events;
    this.#random = random;
  }

  submit(job: EngineJob): void {
    if (this.#random() < this.errorShare) {
      this.#events.schedule(engineModel.failAfterMs, () => {
        job.onEnd("error");
      });
      return;
    }
    if (this.#waiting.length >= engineModel.queueLimitCount) {
      job.onEnd("overloaded");
      return;
    }
    if (this.#random() < this.prefillErrorShare) {
      this.#failing.add(job.attemptId);
    }
    const index = this.#waiting.findIndex(({ priority }) => priority < job.priority);
    this.#waiting.splice(index < 0 ? this.#waiting.length : index, 0, job);
    this.#startStep();
  }

  cancel(attemptId: string): void {
    const index = this.#waiting.findIndex((job) => job.attemptId === attemptId);
    if (index >= 0) {
      this.#waiting.splice(index, 1);
    }
    this.#running = this.#running.filter(({ job }) => job.attemptId !== attemptId);
  }

  getReport(): Omit<LoadReport, "measuredAtMs"> {
    return {
      runningCount: this.#running.length,
      queuedCount: this.#waiting.length,
      runningTokenCount: this.#running.reduce((sum, { position }) => sum + position, 0),
      batchLimitCount: engineModel.batchLimitCount,
      stepMs: this.#lastStepMs,
      kvFreeShare: 1 - this.#running.length / engineModel.batchLimitCount,
      groupSkew: 1,
    };
  }

  #startStep(): void {
    if (this.#isStepping) {
      return;
    }
    this.#admit();
    if (this.#running.length === 0) {
      return;
    }
    this.#isStepping = true;
    let budget: number = engineModel.prefillChunkTokens;
    for (const running of this.#running) {
      const chunk = Math.min(budget, running.prefillLeft);
      running.prefillLeft -= chunk;
      budget -= chunk;
    }
    const prefillTokens = engineModel.prefillChunkTokens - budget;
    const decodeMs = engineModel.stepMs * (1 + this.#running.length / engineModel.batchLimitCount);
    this.#lastStepMs = decodeMs * this.slowdown;
    this.computedTokenCount += prefillTokens;
    const stepMs = (decodeMs + prefillTokens * engineModel.prefillMsPerToken) * this.slowdown;
    this.#events.schedule(stepMs, () => {
      this.#endStep();
    });
  }

  #endStep(): void {
    this.#isStepping = false;
    const kept: RunningJob[] = [];
    const batch = this.#running;
    for (const running of batch) {
      if (running.prefillLeft > 0) {
        kept.push(running);
        continue;
      }
      if (this.#failing.delete(running.job.attemptId)) {
        running.job.onEnd("error");
        continue;
      }
      running.position += 1;
      this.computedTokenCount += 1;
      running.job.onPosition(running.position);
      if (!this.#endJob(running)) {
        kept.push(running);
      }
    }
    this.#running = kept;
    this.#startStep();
  }

  #endJob({ job, position }: RunningJob): boolean {
    if (position >= job.outputTokenCount) {
      job.onEnd("completed");
      return true;
    }
    return false;
  }

  #admit(): void {
    while (this.#running.length < engineModel.batchLimitCount) {
      const job = this.#waiting.shift();
      if (job === undefined) {
        return;
      }
      const cachedCount = this.#useCache(job.prefixHashes);
      job.onAdmitted(cachedCount);
      const cachedTokens = cachedCount * engineModel.blockTokens;
      const prefillLeft = Math.max(1, job.promptTokenCount + job.firstPosition - cachedTokens);
      this.#running.push({ job, prefillLeft, position: job.firstPosition });
    }
  }

  /** Returns the number of leading blocks that were cached, and caches all blocks of the prompt. */
  #useCache(hashes: readonly number[]): number {
    let cachedCount = 0;
    while (cachedCount < hashes.length && this.#cache.has(hashes[cachedCount] ?? 0)) {
      cachedCount += 1;
    }
    for (const hash of [...hashes].reverse()) {
      this.#cache.delete(hash);
      this.#cache.set(hash, null);
    }
    const evicted: number[] = [];
    for (const hash of this.#cache.keys()) {
      if (this.#cache.size <= engineModel.cacheBlockCount) {
        break;
      }
      this.#cache.delete(hash);
      evicted.push(hash);
    }
    this.#sequence += 1;
    this.cacheEvents.push({ sequence: this.#sequence, stored: hashes.slice(cachedCount), evicted });
    return cachedCount;
  }
}
