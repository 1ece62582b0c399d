import type { RequestWork } from "./RequestWork";
import type { TargetWork } from "./TargetWork";

/** Returns the expected length of an answer that is longer than expected, in tokens. */
type EstimateAbove = (doneTokens: number) => number;

/** Remaining work of one request at its target, which each event of its stream lowers. */
export class RunningWork {
  readonly work: RequestWork;
  readonly #target: TargetWork;
  readonly #estimateAbove: EstimateAbove;
  #prefillMs: number;
  #decodeMs: number;
  #expectedTokens: number;
  #doneTokens = 0;
  #hasEnded = false;

  constructor(target: TargetWork, work: RequestWork, estimateAbove: EstimateAbove) {
    this.work = work;
    this.#target = target;
    this.#estimateAbove = estimateAbove;
    this.#prefillMs = work.prefillMs;
    this.#decodeMs = work.decodeMs;
    this.#expectedTokens = work.answerTokens;
    target.requests += 1;
    target.leftMs += work.totalMs;
    target.prefillMs += work.prefillMs;
    target.heldTokens += work.promptTokens + work.answerTokens;
  }

  /** Tokens that have arrived. */
  get doneTokens(): number {
    return this.#doneTokens;
  }

  /** Work that remains, in ms of the target's time. */
  get leftMs(): number {
    return this.#prefillMs + this.#decodeMs;
  }

  noteEvent(): void {
    if (this.#hasEnded) {
      return;
    }
    this.#target.prefillMs -= this.#prefillMs;
    this.#target.leftMs -= this.#prefillMs;
    this.#prefillMs = 0;
    const { stride, tokenMs, minLeftTokens, maxTokens } = this.work;
    this.#doneTokens += stride;
    if (tokenMs === 0) {
      // Events tell nothing about work that is not counted in tokens.
      return;
    }
    if (this.#doneTokens >= this.#expectedTokens) {
      this.#expect(Math.max(this.#estimateAbove(this.#doneTokens), this.#doneTokens + stride));
    }
    const likelyTokens = Math.max(this.#expectedTokens - this.#doneTokens, minLeftTokens);
    const possibleTokens = Math.max(maxTokens - this.#doneTokens, stride);
    this.#setDecodeMs(tokenMs * Math.min(likelyTokens, possibleTokens));
  }

  /** Frees what the request held; repeated calls change nothing. */
  end(): void {
    if (!this.#hasEnded) {
      this.#hasEnded = true;
      this.#target.requests -= 1;
      this.#target.leftMs -= this.leftMs;
      this.#target.prefillMs -= this.#prefillMs;
      this.#target.heldTokens -= this.work.promptTokens + this.#expectedTokens;
    }
  }

  #expect(tokens: number): void {
    this.#target.heldTokens += tokens - this.#expectedTokens;
    this.#expectedTokens = tokens;
  }

  #setDecodeMs(decodeMs: number): void {
    this.#target.leftMs += decodeMs - this.#decodeMs;
    this.#decodeMs = decodeMs;
  }
}
