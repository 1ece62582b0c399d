import { ClearedParts } from "./ClearedParts";
import type { CrashEvidence } from "./CrashEvidence";
import type { CrashReport } from "./CrashReport";
import type { CrashVerdicts } from "./CrashVerdicts";
import { PartRecord } from "./PartRecord";

interface Crash {
  readonly report: CrashReport;
  readonly atMs: number;
  readonly parts: Set<string>;
  isJudged: boolean;
}

/** A suspicion that has just begun. */
interface Judgement {
  readonly part: string;
  readonly crashes: number;
  readonly target: string;
}

/**
 * Time from a crash until it is judged. Within it, the reports of all gateways have arrived, and their answers on when
 * they last saw the parts answered. A rank group takes longer to recover.
 */
const settleMs = 1200;
/** A report of a crash that is older than this is ignored unless the crash is known. */
const reportedMs = 10_000;
/** Longer, so that no other process still reports a crash that was forgotten here, which would count it again. */
const rememberedMs = 20_000;
const maxCrashes = 64;
const maxPartsPerCrash = 64;
const maxRecords = 256;
/** With more unanswered parts at a crash, a single crash does not show which of them it was. */
const maxSingleSuspects = 3;
/** A part that is one of few left after two crashes, or that was there at three, is suspected. */
const fewSuspects = 2;
const strikesOfFew = 2;
const strikesOfMany = 3;

/**
 * Finds the prompt parts that crash targets, from crashes that gateways report. Callers' requests share most parts, so
 * that each crash has several candidates: the parts of the requests that were at the target and had no answer yet.
 * Parts that other targets have answered are cleared. A crash at which a suspected part was present is attributed to
 * that part, and says nothing about the others.
 *
 * All coordinators exchange their evidence and judge it by the same rules. Pure: the caller passes the current time.
 */
export class CrashLedger {
  readonly #crashes = new Map<string, Crash>();
  readonly #cleared = new ClearedParts();
  readonly #records = new Map<string, PartRecord>();

  /** Adds what another process knows. */
  merge({ reports, clearances, suspicions }: CrashEvidence, nowMs: number): void {
    for (const { part, ageMs } of clearances) {
      this.#cleared.note(part, nowMs - ageMs);
      this.#records.get(part)?.noteCleared(nowMs - ageMs);
    }
    for (const report of reports) {
      this.#addReport(report, nowMs);
    }
    for (const suspicion of suspicions) {
      this.#getRecord(suspicion.part).mergeSuspicion(suspicion, nowMs);
    }
  }

  /** Judges the crashes that are due. Returns the suspicions that begin. */
  review(nowMs: number): Judgement[] {
    const judgements: Judgement[] = [];
    for (const [key, crash] of this.#crashes) {
      if (!crash.isJudged && nowMs - crash.atMs >= settleMs) {
        crash.isJudged = true;
        const { id: target } = crash.report.target;
        for (const part of this.#judge(crash, nowMs)) {
          judgements.push({ part, crashes: this.#getRecord(part).crashes, target });
        }
      }
      if (nowMs - crash.atMs > rememberedMs) {
        this.#crashes.delete(key);
      }
    }
    return judgements;
  }

  /** Everything that another coordinator may lack. */
  getEvidence(nowMs: number): CrashEvidence {
    return {
      reports: [...this.#crashes.values()].map(({ report: { target }, atMs, parts, isJudged }) => ({
        target,
        ageMs: nowMs - atMs,
        parts: [...parts],
        isJudged,
      })),
      clearances: this.#listWatched().flatMap((part) => {
        const atMs = this.#cleared.find(part, nowMs);
        return atMs === null ? [] : [{ part, ageMs: nowMs - atMs }];
      }),
      suspicions: this.#listSuspicions(nowMs),
    };
  }

  getVerdicts(nowMs: number): CrashVerdicts {
    return { suspicions: this.#listSuspicions(nowMs), watched: this.#listWatched() };
  }

  #listSuspicions(nowMs: number) {
    return [...this.#records.values()].flatMap((record) => record.getSuspicion(nowMs) ?? []);
  }

  #listWatched(): string[] {
    const unjudged = [...this.#crashes.values()].filter(({ isJudged }) => !isJudged);
    const parts = unjudged.flatMap((crash) => [...crash.parts]);
    return [...new Set([...parts, ...this.#records.keys()])];
  }

  #addReport(report: CrashReport, nowMs: number): void {
    const { target, ageMs, parts, isJudged = false } = report;
    const key = `${target.id}:${target.bornMs}`;
    const known = this.#crashes.get(key);
    if (known === undefined && (ageMs > reportedMs || this.#crashes.size >= maxCrashes)) {
      return;
    }
    const crash = known ?? { report, atMs: nowMs - ageMs, parts: new Set(), isJudged: false };
    // Judged again here, the crash would count twice for the part that it was attributed to.
    crash.isJudged ||= isJudged;
    this.#crashes.set(key, crash);
    for (const part of parts.slice(0, maxPartsPerCrash - crash.parts.size)) {
      crash.parts.add(part);
    }
  }

  /** Returns the parts that become suspects by the crash. */
  #judge({ atMs, parts }: Crash, nowMs: number): string[] {
    const candidates = [...parts];
    const known = candidates.filter((part) => this.#records.get(part)?.isSuspectedAt(atMs, nowMs) === true);
    if (known.length > 0) {
      known.forEach((part) => {
        this.#getRecord(part).suspect(nowMs);
      });
      return [];
    }
    const unanswered = candidates.filter((part) => this.#cleared.find(part, nowMs) === null);
    if (unanswered.length > 0 && unanswered.length <= maxSingleSuspects) {
      return this.#suspect(unanswered, nowMs);
    }
    const struck = (unanswered.length > 0 ? unanswered : candidates).filter(
      (part) => (this.#cleared.find(part, nowMs) ?? -Infinity) < atMs,
    );
    const strikes = struck.map((part) => this.#getRecord(part).strike(atMs));
    const repeated = struck.filter((_, index) => (strikes[index] ?? 0) >= strikesOfFew);
    const isNarrow = repeated.length <= fewSuspects;
    return this.#suspect(
      struck.filter((_, index) => (strikes[index] ?? 0) >= (isNarrow ? strikesOfFew : strikesOfMany)),
      nowMs,
    );
  }

  #suspect(parts: readonly string[], nowMs: number): string[] {
    parts.forEach((part) => {
      this.#getRecord(part).suspect(nowMs);
    });
    return [...parts];
  }

  #getRecord(part: string): PartRecord {
    const record = this.#records.get(part) ?? new PartRecord(part);
    this.#records.set(part, record);
    if (this.#records.size > maxRecords) {
      const weakest = [...this.#records.values()].reduce((left, right) =>
        left.weight <= right.weight ? left : right,
      );
      this.#records.delete(weakest.part);
    }
    return record;
  }
}
