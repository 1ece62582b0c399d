import type { RequestClass } from "@clementinemux/common/RequestClass";

interface ExplainedAttempt {
  readonly attemptId: string;
  readonly target: string;
  readonly startedAfterMs: number;
  readonly retryReason: string | null;
  endedAfterMs: number | null;
  end: string | null;
}

interface Explanation {
  readonly requestId: string;
  readonly team: string;
  readonly model: string;
  readonly requestClass: RequestClass;
  readonly revision: number;
  readonly attempts: ExplainedAttempt[];
  /** How the request ended, such as `completed` or a refusal reason; null while it runs. */
  result: string | null;
  tokenCount: number;
}

/** A bounded number of recent requests with their attempts, for `/v1/explain`. */
export class ExplainLog {
  readonly #limit: number;
  readonly #entries = new Map<string, Explanation>();

  constructor(limit: number) {
    this.#limit = limit;
  }

  add(explanation: Explanation): void {
    this.#entries.set(explanation.requestId, explanation);
    if (this.#entries.size > this.#limit) {
      const [oldest] = this.#entries.keys();
      this.#entries.delete(oldest ?? "");
    }
  }

  /** Finds a request of the team; requests of other teams are not shown. */
  find(requestId: string, team: string): Explanation | null {
    const explanation = this.#entries.get(requestId);
    return explanation?.team === team ? explanation : null;
  }

  /** Returns a request of any team, so that the entry itself can update it. */
  get(requestId: string): Explanation | null {
    return this.#entries.get(requestId) ?? null;
  }
}
