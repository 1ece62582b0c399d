import type { CandidateRequest } from "./CandidateRequest";
import type { CrashReport } from "./CrashReport";

const maxParts = 64;
const maxRequests = 64;

/** One crash of a target, with all that was reported of it. Takes the current time as a parameter. */
export class CrashRecord {
  readonly key: string;
  readonly atMs: number;
  /** Prompt parts of requests that had not begun to be answered. */
  readonly parts = new Set<string>();
  readonly requests = new Map<string, CandidateRequest>();
  service: string | null = null;
  isIsolated = false;
  isAttributed = false;
  readonly #target: CrashReport["target"];

  constructor(key: string, { target, ageMs }: CrashReport, nowMs: number) {
    this.key = key;
    this.atMs = nowMs - ageMs;
    this.#target = target;
  }

  get targetId(): string {
    return this.#target.id;
  }

  /** Adds another report of the same crash. */
  add({ parts, requests = [], service, isIsolated, isAttributed = false }: CrashReport): void {
    this.isAttributed ||= isAttributed;
    this.service = service ?? this.service;
    this.isIsolated = isIsolated ?? this.isIsolated;
    for (const part of parts.slice(0, maxParts - this.parts.size)) {
      this.parts.add(part);
    }
    for (const request of requests) {
      const known = this.requests.get(request.key);
      if (known !== undefined || this.requests.size < maxRequests) {
        const hasBegun = request.hasBegun && known?.hasBegun !== false;
        const sentMs = Math.min(request.sentMs ?? 0, known?.sentMs ?? Infinity);
        const parts = request.parts.slice(0, maxParts);
        this.requests.set(request.key, { ...request, parts, hasBegun, sentMs });
      }
    }
  }

  /** Whether a prompt part or a request was at the target. */
  has(cause: string): boolean {
    return this.parts.has(cause) || this.requests.has(cause);
  }

  /** Requests that the target had not begun to answer. */
  listUnanswered(): CandidateRequest[] {
    return [...this.requests.values()].filter(({ hasBegun }) => !hasBegun);
  }

  toReport(nowMs: number): CrashReport {
    return {
      target: this.#target,
      ageMs: nowMs - this.atMs,
      parts: [...this.parts],
      requests: [...this.requests.values()],
      ...(this.service === null ? {} : { service: this.service }),
      isIsolated: this.isIsolated,
      isAttributed: this.isAttributed,
    };
  }
}
