import { AnsweredCauses } from "./AnsweredCauses";
import type { CrashEvidence } from "./CrashEvidence";
import type { CrashReport } from "./CrashReport";
import type { CrashFindings } from "./CrashFindings";
import { CauseRecord } from "./CauseRecord";

interface Crash {
  readonly report: CrashReport;
  readonly atMs: number;
  readonly parts: Set<string>;
  isAttributed: boolean;
}

/** A suspicion that has just begun. */
interface Attribution {
  readonly part: string;
  readonly crashes: number;
  readonly target: string;
}

/**
 * Time from a crash until it is attributed. Within it, the reports of all gateways have arrived, and their answers on when
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
/** Gateways are asked for no more parts than this. */
const maxWatched = 512;
/** With more unanswered parts at a crash, a single crash does not show which of them it was. */
const maxSingleSuspects = 3;
/** A part that is one of few left after two crashes, or that was there at three, is suspected. */
const fewSuspects = 2;
const crashesOfFew = 2;
const crashesOfMany = 3;

/**
 * Finds the prompt parts that crash targets, from crashes that gateways report. Callers' requests share most parts, so
 * that each crash has several candidates: the parts of the requests that were at the target and had no answer yet.
 * Parts that other targets have answered are no candidates. A crash at which a suspected part was present is attributed to
 * that part, and says nothing about the others.
 *
 * All coordinators exchange their evidence and attribute crashes by the same rules. Pure: the caller passes the current time.
 */
export class CrashLedger {
  readonly #crashes = new Map<string, Crash>();
  readonly #answered = new AnsweredCauses();
  readonly #records = new Map<string, CauseRecord>();

  /** Adds what another process knows. */
  merge({ reports, answered, suspicions }: CrashEvidence, nowMs: number): void {
    for (const { part, ageMs } of answered) {
      this.#answered.note(part, nowMs - ageMs);
      this.#records.get(part)?.noteAnswered(nowMs - ageMs);
    }
    for (const report of reports) {
      this.#addReport(report, nowMs);
    }
    for (const suspicion of suspicions) {
      this.#getRecord(suspicion.part).mergeSuspicion(suspicion, nowMs);
    }
  }

  /** Attributes the crashes that are due. Returns the suspicions that begin. */
  review(nowMs: number): Attribution[] {
    const attributions: Attribution[] = [];
    for (const [key, crash] of this.#crashes) {
      if (!crash.isAttributed && nowMs - crash.atMs >= settleMs) {
        crash.isAttributed = true;
        const { id: target } = crash.report.target;
        for (const part of this.#attribute(crash, nowMs)) {
          attributions.push({ part, crashes: this.#getRecord(part).crashes, target });
        }
      }
      if (nowMs - crash.atMs > rememberedMs) {
        this.#crashes.delete(key);
      }
    }
    return attributions;
  }

  /** Everything that another coordinator may lack. */
  getEvidence(nowMs: number): CrashEvidence {
    return {
      reports: [...this.#crashes.values()].map(({ report: { target }, atMs, parts, isAttributed }) => ({
        target,
        ageMs: nowMs - atMs,
        parts: [...parts],
        isAttributed,
      })),
      answered: this.#answered.list(this.#listWatched(), nowMs),
      suspicions: this.#listSuspicions(nowMs),
    };
  }

  getFindings(nowMs: number): CrashFindings {
    return { suspicions: this.#listSuspicions(nowMs), watched: this.#listWatched() };
  }

  #listSuspicions(nowMs: number) {
    return [...this.#records.values()].flatMap((record) => record.getSuspicion(nowMs) ?? []);
  }

  #listWatched(): string[] {
    const unattributed = [...this.#crashes.values()].filter(({ isAttributed }) => !isAttributed);
    const parts = unattributed.flatMap((crash) => [...crash.parts]);
    return [...new Set([...this.#records.keys(), ...parts])].slice(0, maxWatched);
  }

  #addReport(report: CrashReport, nowMs: number): void {
    const { target, ageMs, parts, isAttributed = false } = report;
    const key = `${target.id}:${target.bornMs}`;
    const known = this.#crashes.get(key);
    if (known === undefined && (ageMs > reportedMs || this.#crashes.size >= maxCrashes)) {
      return;
    }
    const crash = known ?? { report, atMs: nowMs - ageMs, parts: new Set(), isAttributed: false };
    // Attributed again here, the crash would count twice for its part.
    crash.isAttributed ||= isAttributed;
    this.#crashes.set(key, crash);
    for (const part of parts.slice(0, maxPartsPerCrash - crash.parts.size)) {
      crash.parts.add(part);
    }
  }

  /** Returns the parts that become suspects by the crash. */
  #attribute({ atMs, parts }: Crash, nowMs: number): string[] {
    const candidates = [...parts];
    const known = candidates.filter((part) => this.#records.get(part)?.isSuspectedAt(atMs, nowMs) === true);
    if (known.length > 0) {
      this.#suspect(known, nowMs);
      return [];
    }
    const unanswered = candidates.filter((part) => this.#answered.find(part, nowMs) === null);
    if (unanswered.length > 0 && unanswered.length <= maxSingleSuspects) {
      return this.#suspect(unanswered, nowMs);
    }
    const possible = (unanswered.length > 0 ? unanswered : candidates).filter(
      (part) => (this.#answered.find(part, nowMs) ?? -Infinity) < atMs,
    );
    const crashes = possible.map((part) => this.#getRecord(part).noteCandidate(atMs));
    const repeated = possible.filter((_, index) => (crashes[index] ?? 0) >= crashesOfFew);
    const isNarrow = repeated.length <= fewSuspects;
    return this.#suspect(
      possible.filter((_, index) => (crashes[index] ?? 0) >= (isNarrow ? crashesOfFew : crashesOfMany)),
      nowMs,
    );
  }

  #suspect(parts: readonly string[], nowMs: number): string[] {
    parts.forEach((part) => {
      this.#getRecord(part).suspect(nowMs);
    });
    return [...parts];
  }

  #getRecord(part: string): CauseRecord {
    const record = this.#records.get(part) ?? new CauseRecord(part);
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
