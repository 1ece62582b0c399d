import type { ChoiceRequest } from "./ChoiceRequest";
import { choiceParameters } from "./choiceParameters";

interface RankJob {
  readonly request: ChoiceRequest;
  readonly onEvent: () => void;
  readonly onEnd: () => void;
  prefillLeft: number;
}

const {
  slots,
  stride,
  stepMs,
  perSequenceMs,
  perThousandContextMs,
  readPerSecond,
  chunkTokens,
  kvCapacityTokens,
} = choiceParameters.engine;

/** One rank: a batch with chunked prefill and a limited memory. The newest request is dropped when it is full. */
export class RankModel {
  readonly #running: RankJob[] = [];
  readonly #waiting: RankJob[] = [];
  #prefilled = 0;

  get requestCount(): number {
    return this.#running.length + this.#waiting.length;
  }

  get requests(): readonly ChoiceRequest[] {
    return [...this.#running, ...this.#waiting].map(({ request }) => request);
  }

  submit(request: ChoiceRequest, onEvent: () => void, onEnd: () => void): void {
    this.#waiting.push({ request, onEvent, onEnd, prefillLeft: request.promptTokens });
  }

  /** Admits and drops requests, and returns the time of the rank's part of the next pass. */
  startPass(): number {
    this.#admit();
    if (this.#running.length === 0) {
      return 0;
    }
    let budget = chunkTokens * stride;
    let addedMs = 0;
    for (const job of this.#running) {
      const chunk = Math.min(budget, job.prefillLeft);
      job.prefillLeft -= chunk;
      budget -= chunk;
      addedMs += perSequenceMs + (perThousandContextMs * getHeldTokens(job)) / 1000;
    }
    this.#prefilled = chunkTokens * stride - budget;
    return stride * (stepMs + addedMs) + (this.#prefilled / readPerSecond) * 1000;
  }

  endPass(nowMs: number): void {
    for (const job of [...this.#running]) {
      if (job.prefillLeft === 0) {
        this.#emit(job, nowMs);
      }
    }
  }

  #emit(job: RankJob, nowMs: number): void {
    const { request } = job;
    request.longestGapMs = Math.max(request.longestGapMs, nowMs - (request.lastAtMs ?? nowMs));
    request.firstAtMs ??= nowMs;
    request.lastAtMs = nowMs;
    request.doneEvents += 1;
    job.onEvent();
    if (request.doneEvents >= request.events) {
      this.#running.splice(this.#running.indexOf(job), 1);
      job.onEnd();
    }
  }

  #admit(): void {
    let held = this.#running.reduce((sum, job) => sum + getHeldTokens(job) + stride, 0);
    while (held > kvCapacityTokens && this.#running.length > 1) {
      const newest = this.#running.pop();
      if (newest !== undefined) {
        held -= getHeldTokens(newest) + stride;
        newest.request.preemptions += 1;
        newest.prefillLeft = getHeldTokens(newest);
        this.#waiting.unshift(newest);
      }
    }
    for (let next = this.#waiting[0]; next !== undefined; next = this.#waiting[0]) {
      held += getHeldTokens(next) + stride;
      if (this.#running.length >= slots || (held > kvCapacityTokens && this.#running.length > 0)) {
        return;
      }
      this.#running.push(next);
      this.#waiting.shift();
    }
  }
}

function getHeldTokens({ request }: RankJob): number {
  return request.promptTokens + request.doneEvents * stride;
}
