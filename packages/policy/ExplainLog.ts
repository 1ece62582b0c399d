import type { ExplainRecord } from "./ExplainRecord";

const maxRecordsPerRequest = 8;
const maxCandidates = 5;

/** Decisions about the most recent requests. Keeps at most `capacity` requests and evicts the oldest. */
export class ExplainLog {
  readonly #capacity: number;
  readonly #requests = new Map<string, ExplainRecord[]>();

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  add(record: ExplainRecord): void {
    const records = this.#requests.get(record.requestId) ?? [];
    records.push({ ...record, candidates: record.candidates.slice(0, maxCandidates) });
    if (records.length > maxRecordsPerRequest) {
      // The first decision is kept because it shows why the request was admitted.
      records.splice(1, 1);
    }
    this.#requests.set(record.requestId, records);
    const oldest = this.#requests.keys().next();
    if (this.#requests.size > this.#capacity && oldest.done !== true) {
      this.#requests.delete(oldest.value);
    }
  }

  get(requestId: string): readonly ExplainRecord[] {
    return this.#requests.get(requestId) ?? [];
  }
}
