import type { CandidateRequest } from "@clementinemux/crashes/CandidateRequest";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { RequestCauses } from "./RequestCauses";

interface AttemptWatchOptions {
  readonly target: TargetRecord;
  readonly causes: RequestCauses;
  readonly sentAtMs: number;
  /** The target has begun to answer a request with these parts and went on. */
  readonly onPartsAnswered: (parts: readonly string[], nowMs: number) => void;
  /** The target has answered the request completely. */
  readonly onRequestAnswered: (request: string, nowMs: number) => void;
}

/** A target that crashes as it begins to answer may still get the first events out. */
const firstEventsMs = 300;
const firstFailureStatus = 500;

/** Observes for one attempt whether its target begins to answer, goes on and completes. Takes the current time as a parameter. */
export class AttemptWatch {
  readonly target: TargetRecord;
  readonly #options: AttemptWatchOptions;
  #firstEventAtMs: number | null = null;
  #hasBegun = false;

  constructor(options: AttemptWatchOptions) {
    this.#options = options;
    this.target = options.target;
  }

  /** The request as a candidate, if the target crashes now. */
  getCandidate(nowMs: number): CandidateRequest {
    const { causes, sentAtMs } = this.#options;
    const { request, parts } = causes;
    return { key: request, parts, hasBegun: this.#hasBegun, sentMs: nowMs - sentAtMs };
  }

  noteEvent(nowMs: number): void {
    this.#firstEventAtMs ??= nowMs;
    if (nowMs - this.#firstEventAtMs >= firstEventsMs) {
      this.#noteBegun(nowMs);
    }
  }

  noteStreamEnd(nowMs: number): void {
    if (this.#firstEventAtMs !== null) {
      this.#noteBegun(nowMs);
      this.#options.onRequestAnswered(this.#options.causes.request, nowMs);
    }
  }

  /** A target that fails a request, as at its deadline, may not have begun to answer it. */
  noteResponse(status: number, nowMs: number): void {
    if (status < firstFailureStatus) {
      this.#noteBegun(nowMs);
      this.#options.onRequestAnswered(this.#options.causes.request, nowMs);
    }
  }

  #noteBegun(nowMs: number): void {
    if (!this.#hasBegun) {
      this.#hasBegun = true;
      this.#options.onPartsAnswered(this.#options.causes.parts, nowMs);
    }
  }
}
