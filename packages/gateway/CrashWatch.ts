import { setTimeout as delay } from "node:timers/promises";
import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import type { Random } from "@clementinemux/common/Random";
import { AnsweredCauses } from "@clementinemux/crashes/AnsweredCauses";
import type { CandidateRequest } from "@clementinemux/crashes/CandidateRequest";
import type { CrashEvidence } from "@clementinemux/crashes/CrashEvidence";
import type { CrashFindings } from "@clementinemux/crashes/CrashFindings";
import { CrashLedger } from "@clementinemux/crashes/CrashLedger";
import type { CrashReport } from "@clementinemux/crashes/CrashReport";
import { SuspectTable } from "@clementinemux/crashes/SuspectTable";
import type { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { hasStoppedListening } from "@clementinemux/wire/hasStoppedListening";
import { AttemptWatch } from "./AttemptWatch";
import { GatewayHandler } from "./GatewayHandler";
import type { RequestCauses } from "./RequestCauses";

interface CrashWatchOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Resolves with whether the target refuses connections, as after a crash. */
  readonly isRefusing: (address: string) => Promise<boolean>;
  /** Whether another incarnation has taken the target's place, which was not about to leave. */
  readonly isReplaced: (target: TargetRecord) => boolean;
  /** Whether the other targets of a service go on when one of them crashes. */
  readonly isIsolated: (service: string) => boolean;
  /** Sends the evidence to the coordinators; resolves when they have answered, or are out of reach. */
  readonly onNews: () => Promise<void>;
  readonly errors: ErrorBoundary<GatewayHandler>;
  readonly logger: Logger;
}

interface SeenCrash {
  readonly target: TargetRecord;
  readonly atMs: number;
  readonly requests: Map<string, CandidateRequest>;
}

/** A broken connection whose target has accepted a new one. */
interface OpenCase {
  readonly target: TargetRecord;
  readonly candidate: CandidateRequest;
  readonly atMs: number;
}

/** A crash is reported for this long, since reports may be lost and coordinators may change. */
const reportedMs = 3000;
const maxCrashes = 64;
const maxRequestsPerCrash = 64;
/** The last look, for which the request does not wait. */
const lastLookMs = 250;
/** Time within which the registry shows that a target was replaced. */
const openCaseMs = 3000;
const maxOpenCases = 64;
/** A request whose connection broke waits no longer than this for what the coordinators know. */
const askMs = 150;
/**
 * A request at a rank group that has crashed is sent again only when the coordinators have attributed the crash: if it was
 * the cause, it would take down the group again. The group takes longer to recover.
 */
const attributionMs = 1700;
const attributionPollMs = 20;

/**
 * Recognizes crashes of targets at the requests of this gateway, and holds what is suspected of causing them: requests, and
 * parts of prompts. A broken connection alone is no crash: the target must refuse new ones, too, or be replaced.
 */
export class CrashWatch {
  readonly #options: CrashWatchOptions;
  readonly #answeredParts = new AnsweredCauses();
  readonly #answeredRequests = new AnsweredCauses();
  readonly #suspects: SuspectTable;
  readonly #ledger = new CrashLedger({ isLocal: true });
  readonly #crashes = new Map<string, SeenCrash>();
  #openCases: OpenCase[] = [];
  #watched: ReadonlySet<string> = new Set();
  /** Suspicions that the coordinator named last. */
  #named: ReadonlySet<string> = new Set();

  constructor(options: CrashWatchOptions) {
    this.#options = options;
    this.#suspects = new SuspectTable(options.random);
  }

  /** Time until a request may be sent, in ms; 0 if nothing of it is suspected of crashing targets. */
  getWaitMs({ request, parts }: RequestCauses): number {
    return this.#suspects.getWaitMs([request, ...parts], this.#now());
  }

  /** Begins to observe an attempt that is about to be sent. */
  begin(target: TargetRecord, causes: RequestCauses): AttemptWatch {
    this.#suspects.noteSent([causes.request, ...causes.parts], this.#now());
    return new AttemptWatch({
      target,
      causes,
      sentAtMs: this.#now(),
      onPartsAnswered: (parts, nowMs) => {
        this.#noteAnswered(target, this.#answeredParts, parts, nowMs);
      },
      onRequestAnswered: (request, nowMs) => {
        this.#noteAnswered(target, this.#answeredRequests, [request], nowMs);
        const answered = [{ part: request, ageMs: 0 }];
        this.#ledger.merge({ reports: [], answered, suspicions: [] }, nowMs);
      },
    });
  }

  /**
   * Finds out whether a connection broke since its target has crashed. Resolves when this is known here and at the
   * coordinators, or takes too long; `isWaiting` also waits for the attribution of a crash of a group.
   */
  async examine(watch: AttemptWatch, isWaiting: boolean): Promise<void> {
    const atMs = this.#now();
    const { target } = watch;
    const candidate = watch.getCandidate(atMs);
    const openCase = { target, candidate, atMs };
    if (!(await hasStoppedListening(() => this.#look(openCase)))) {
      this.#keepOpen(openCase);
      return;
    }
    const isIsolated = this.#options.isIsolated(target.service);
    await Promise.race([this.#addCrash(openCase), delay(askMs, undefined, { ref: false })]);
    if (isWaiting && !isIsolated && !candidate.hasBegun) {
      await this.#waitForAttribution(openCase);
    }
  }

  /** Takes over what a coordinator has concluded. */
  update({ suspicions, watched }: CrashFindings): void {
    const hasNews = watched.some((cause) => !this.#watched.has(cause) && this.#isAnswered(cause));
    this.#watched = new Set(watched);
    this.#named = new Set(suspicions.map(({ part }) => part));
    this.#suspects.update(suspicions, this.#now());
    if (hasNews) {
      this.#runUnattended(() => this.#options.onNews());
    }
  }

  /** What the coordinators may lack. */
  getEvidence(): CrashEvidence {
    const nowMs = this.#now();
    this.#reviewOpenCases(nowMs);
    this.#ledger.review(nowMs);
    for (const [id, { atMs }] of this.#crashes) {
      if (nowMs - atMs > reportedMs) {
        this.#crashes.delete(id);
      }
    }
    const watched = [...this.#watched];
    return {
      reports: [...this.#crashes.values()].map((crash) => this.#createReport(crash, nowMs)),
      answered: [...this.#answeredParts.list(watched, nowMs), ...this.#answeredRequests.list(watched, nowMs)],
      suspicions: this.#suspects.list(nowMs).filter(({ part }) => !this.#named.has(part)),
    };
  }

  #isAnswered(cause: string): boolean {
    const nowMs = this.#now();
    return [this.#answeredParts, this.#answeredRequests].some(
      (answered) => answered.find(cause, nowMs) !== null,
    );
  }

  #noteAnswered(
    target: TargetRecord,
    memory: AnsweredCauses,
    causes: readonly string[],
    nowMs: number,
  ): void {
    const watched = causes.filter((cause) => this.#watched.has(cause));
    if (watched.length > 0) {
      this.#options.logger.info({ target: target.id, causes: watched }, "watched cause answered");
    }
    causes.forEach((cause) => {
      memory.note(cause, nowMs);
    });
  }

  async #look({ target }: OpenCase): Promise<boolean> {
    const { isRefusing, isReplaced } = this.#options;
    const timeout = delay(askMs, false, { ref: false });
    return isReplaced(target) || (await Promise.race([isRefusing(target.address), timeout]));
  }

  /** Looks at a target again that has accepted a connection; afterwards the registry may still show its replacement. */
  #keepOpen(openCase: OpenCase): void {
    if (this.#openCases.length < maxOpenCases) {
      this.#openCases.push(openCase);
      setTimeout(() => {
        this.#runUnattended(async () => {
          if (await this.#look(openCase)) {
            this.#close(openCase);
          }
        });
      }, lastLookMs).unref();
    }
  }

  #close(openCase: OpenCase): void {
    if (this.#openCases.includes(openCase)) {
      this.#openCases = this.#openCases.filter((other) => other !== openCase);
      this.#runUnattended(() => this.#addCrash(openCase));
    }
  }

  #runUnattended(action: () => Promise<void>): void {
    void this.#options.errors.runAsync(GatewayHandler.CrashWatch, action);
  }

  #reviewOpenCases(nowMs: number): void {
    for (const openCase of this.#openCases) {
      if (this.#options.isReplaced(openCase.target)) {
        this.#close(openCase);
      }
    }
    this.#openCases = this.#openCases.filter(({ atMs }) => nowMs - atMs < openCaseMs);
  }

  /** Resolves when the coordinators have answered. */
  async #addCrash({ target, candidate, atMs }: OpenCase): Promise<void> {
    const { onNews, logger } = this.#options;
    const key = `${target.id}:${target.bornMs}`;
    const known = this.#crashes.get(key);
    if (known === undefined && this.#crashes.size >= maxCrashes) {
      return;
    }
    const crash = known ?? { target, atMs, requests: new Map<string, CandidateRequest>() };
    this.#crashes.set(key, crash);
    const earlier = crash.requests.get(candidate.key);
    if (earlier !== undefined || crash.requests.size < maxRequestsPerCrash) {
      const sentMs = Math.min(candidate.sentMs ?? 0, earlier?.sentMs ?? Infinity);
      crash.requests.set(candidate.key, { ...candidate, sentMs });
    }
    const { key: request, hasBegun } = candidate;
    const report = this.#createReport(crash, this.#now());
    logger.warn({ target: target.id, request, hasBegun, parts: report.parts }, "target crashed at a request");
    this.#judge(report);
    await onNews();
  }

  /** Suspects a request by the evidence of this gateway alone. */
  #judge(report: CrashReport): void {
    const nowMs = this.#now();
    this.#ledger.merge({ reports: [report], answered: [], suspicions: [] }, nowMs);
    const keys = new Set(this.#ledger.review(nowMs).map(({ part }) => part));
    const { suspicions } = this.#ledger.getFindings(nowMs);
    this.#suspects.update(
      suspicions.filter(({ part }) => keys.has(part)),
      nowMs,
    );
  }

  #createReport({ target, atMs, requests }: SeenCrash, nowMs: number): CrashReport {
    const { id, bornMs, service } = target;
    const list = [...requests.values()].map((request) => {
      const answeredAtMs = this.#answeredRequests.find(request.key, nowMs);
      // An answer after the crash is told with the watched causes.
      return answeredAtMs === null || answeredAtMs > atMs
        ? request
        : { ...request, answeredMs: atMs - answeredAtMs };
    });
    const parts = list.filter(({ hasBegun }) => !hasBegun).flatMap((request) => request.parts);
    return {
      target: { id, bornMs },
      ageMs: nowMs - atMs,
      parts: [...new Set(parts)].filter((part) => !this.#isAnswered(part)),
      requests: list,
      service,
      isIsolated: this.#options.isIsolated(service),
    };
  }

  async #waitForAttribution({ candidate, atMs }: OpenCase): Promise<void> {
    const causes = { request: candidate.key, parts: candidate.parts };
    while (this.#now() - atMs < attributionMs && this.getWaitMs(causes) === 0) {
      await delay(attributionPollMs, undefined, { ref: false });
    }
  }

  #now(): number {
    return this.#options.clock.monotonicMs();
  }
}
