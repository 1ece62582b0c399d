import { AnsweredCauses } from "./AnsweredCauses";
import { CauseKind } from "./CauseKind";
import { CauseRecord } from "./CauseRecord";
import type { CrashEvidence } from "./CrashEvidence";
import type { CrashFindings } from "./CrashFindings";
import { CrashRecord } from "./CrashRecord";
import type { CrashReport } from "./CrashReport";
import { getCauseKind } from "./getCauseKind";
import { sameCauseMs } from "./sameCauseMs";

interface CrashLedgerOptions {
  /**
   * Whether the ledger has the evidence of one gateway only, which does not know what others have seen answered. It suspects
   * only requests, and those only after two crashes.
   */
  readonly isLocal: boolean;
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
const maxRecords = 1024;
/** Gateways are asked for no more causes than this. */
const maxWatched = 256;
/** Suspicions that are passed on, those with the most crashes first. */
const maxSuspicions = 256;
/** With more unanswered parts at a crash, a single crash does not show which of them it was. */
const maxSingleSuspects = 3;
/** The same for requests, of which each is missed by its own caller only. */
const maxSingleRequests = 6;
/** A cause that is one of few left after two crashes, or that was there at three, is suspected. */
const fewSuspects = 2;
const crashesOfFew = 2;
const crashesOfMany = 3;

/**
 * Finds what crashes targets, from crashes that gateways report: a request, whenever it comes, or a part of prompts that
 * many requests share. Each crash has several candidates: the requests that were at the target, and the parts of those
 * that had no answer yet. What targets have answered is no candidate. A crash at which a suspected part was present is
 * attributed to that part, and says nothing about the other parts. Crashes that no candidate has in common, as those
 * of a rack, make none of them a suspect.
 *
 * A request is suspected after two crashes, also of different targets within a moment, and after one if it took down a
 * rank group, which costs more than a few requests.
 *
 * All coordinators exchange their evidence and attribute crashes by the same rules. Pure: the caller passes the current time.
 */
export class CrashLedger {
  readonly #isLocal: boolean;
  readonly #crashes = new Map<string, CrashRecord>();
  readonly #answered = new AnsweredCauses();
  readonly #records = new Map<string, CauseRecord>();
  #attributions: Attribution[] = [];
  #revision = 0;

  constructor({ isLocal }: CrashLedgerOptions = { isLocal: false }) {
    this.#isLocal = isLocal;
  }

  /** Increases with each change of the findings, but not as their times pass. */
  get revision(): number {
    return this.#revision;
  }

  /** Adds what another process knows. */
  merge({ reports, answered, suspicions }: CrashEvidence, nowMs: number): void {
    for (const { part, ageMs } of answered) {
      this.#noteAnswered(part, nowMs - ageMs, nowMs);
    }
    for (const report of reports) {
      this.#addReport(report, nowMs);
    }
    for (const suspicion of suspicions) {
      const record = this.#getRecord(suspicion.part);
      const before = record.crashes;
      record.mergeSuspicion(suspicion, nowMs);
      this.#revision += record.crashes > before ? 1 : 0;
    }
  }

  /** Attributes the crashes that are due. Returns the suspicions that have begun since the last call. */
  review(nowMs: number): Attribution[] {
    for (const [key, crash] of this.#crashes) {
      if (!crash.isAttributed && nowMs - crash.atMs >= settleMs) {
        crash.isAttributed = true;
        this.#revision += 1;
        if (!this.#isLocal) {
          this.#attribute(crash, nowMs);
        }
      }
      if (nowMs - crash.atMs > rememberedMs) {
        this.#crashes.delete(key);
      }
    }
    const attributions = this.#attributions;
    this.#attributions = [];
    return attributions;
  }

  /** Everything that another coordinator may lack. */
  getEvidence(nowMs: number): CrashEvidence {
    return {
      reports: [...this.#crashes.values()].map((crash) => crash.toReport(nowMs)),
      answered: this.#answered.list(this.#listWatched(nowMs), nowMs),
      suspicions: this.#listSuspicions(nowMs),
    };
  }

  getFindings(nowMs: number): CrashFindings {
    return { suspicions: this.#listSuspicions(nowMs), watched: this.#listWatched(nowMs) };
  }

  #noteAnswered(cause: string, atMs: number, nowMs: number): void {
    this.#answered.note(cause, atMs);
    const record = this.#records.get(cause);
    const wasSuspected = record?.isSuspectedAt(nowMs, nowMs) ?? false;
    record?.noteAnswered(atMs);
    this.#revision += wasSuspected && record?.isSuspectedAt(nowMs, nowMs) === false ? 1 : 0;
  }

  #listSuspicions(nowMs: number) {
    return [...this.#records.values()]
      .flatMap((record) => record.getSuspicion(nowMs) ?? [])
      .sort((left, right) => right.crashes - left.crashes)
      .slice(0, maxSuspicions);
  }

  #listWatched(nowMs: number): string[] {
    const unattributed = [...this.#crashes.values()].filter(({ isAttributed }) => !isAttributed);
    const candidates = unattributed.flatMap(({ parts, requests }) => [...parts, ...requests.keys()]);
    const suspects = [...this.#records.values()].filter((record) => record.isSuspectedAt(nowMs, nowMs));
    const others = [...this.#records.keys()];
    return [...new Set([...candidates, ...suspects.map(({ key }) => key), ...others])].slice(0, maxWatched);
  }

  #addReport(report: CrashReport, nowMs: number): void {
    const { target, ageMs, requests = [] } = report;
    const key = `${target.id}:${target.bornMs}`;
    const known = this.#crashes.get(key);
    if (known === undefined && (ageMs > reportedMs || this.#crashes.size >= maxCrashes)) {
      return;
    }
    const crash = known ?? new CrashRecord(key, report, nowMs);
    this.#crashes.set(key, crash);
    this.#revision += known === undefined ? 1 : 0;
    for (const { key: request, answeredMs } of requests) {
      if (answeredMs !== undefined) {
        this.#noteAnswered(request, nowMs - ageMs - answeredMs, nowMs);
      }
    }
    const isNews = requests.some((request) => !crash.requests.has(request.key));
    // Attributed again here, the crash would count twice for its part.
    crash.add(report);
    if (isNews) {
      this.#judgeRepeatedRequests(crash, nowMs);
      this.#withdrawInMassCrash(crash, nowMs);
    }
  }

  /** Suspects the requests that were at several targets when these crashed, without an answer in between. */
  #judgeRepeatedRequests(crash: CrashRecord, nowMs: number): void {
    const records = [...crash.requests.values()].map(({ key, sentMs = 0 }) => {
      const record = this.#getRecord(key);
      // A process that has just started learns of answers before it learns of the crashes.
      record.noteAnswered(this.#answered.find(key, nowMs) ?? -Infinity);
      record.notePresence(crash.key, crash.atMs, sentMs);
      return record;
    });
    const relapsed = records.filter((record) => record.isRelapseAt(crash.atMs));
    const explained = this.#listExplained(nowMs);
    const repeated = records.filter(
      (record) =>
        this.#isRepeated(record, crash, nowMs) &&
        [...record.listPresences()].some((presence) => !explained.has(presence)),
    );
    const isNarrow = repeated.length <= fewSuspects;
    const shown = isNarrow ? repeated : repeated.filter(({ presences }) => presences >= crashesOfMany);
    const isNew = (record: CauseRecord): boolean => !record.isSuspectedAt(nowMs, nowMs);
    const isAmbiguous = relapsed.length === 0 && shown.length > 1;
    for (const record of new Set([...relapsed, ...shown.filter(isNew)])) {
      this.#suspect([record.key], crash, nowMs, isAmbiguous);
      this.#refuteOthers(record, nowMs);
    }
  }

  /** Crashes at which a request was present that is suspected for several. */
  #listExplained(nowMs: number): ReadonlySet<string> {
    const causes = [...this.#records.values()].filter(
      (record) => record.isSuspectedAt(nowMs, nowMs) && record.presences >= crashesOfFew,
    );
    return new Set(causes.flatMap((record) => [...record.listPresences()]));
  }

  /**
   * Whether crashes show more than that the request was there by chance. One that was answered before is likely to be sound,
   * and may come so often that it is at each crash of a rack.
   */
  #isRepeated(record: CauseRecord, crash: CrashRecord, nowMs: number): boolean {
    const { key, presences, separatePresences } = record;
    const isProved = this.#answered.find(key, nowMs) !== null;
    const count = isProved ? separatePresences : presences;
    return count >= crashesOfFew && presences > this.#countOthers(key, crash);
  }

  /** Ends the suspicion of a request that was sent again within a mass crash, of which the first two crashes looked like its work. */
  #withdrawInMassCrash(crash: CrashRecord, nowMs: number): void {
    const near = [...this.#crashes.values()].filter((other) => isNear(other, crash));
    for (const other of near) {
      for (const key of other.requests.keys()) {
        const record = this.#records.get(key);
        const isFresh = record?.crashes === 1 && record.isSuspectedAt(nowMs, nowMs);
        if (isFresh && record.presences <= this.#countOthers(key, other)) {
          record.withdraw(nowMs);
          this.#revision += 1;
        }
      }
    }
  }

  /** Ends the suspicions that rest on crashes which a request explains that was at all of them. */
  #refuteOthers(cause: CauseRecord, nowMs: number): void {
    const explained = cause.listPresences();
    if (explained.size < crashesOfFew) {
      return;
    }
    const own = new Set(
      [...this.#crashes.values()].flatMap(({ requests }) => requests.get(cause.key)?.parts ?? []),
    );
    for (const record of this.#records.values()) {
      // A request that was at as many crashes explains them as well.
      if (!own.has(record.key) && record.presences < cause.presences) {
        record.refute(explained, nowMs);
      }
    }
  }

  /** Crashes near this one at which the cause was not present, and that no other request explains. */
  #countOthers(cause: string, crash: CrashRecord): number {
    return [...this.#crashes.values()].filter(
      (other) => isNear(other, crash) && !other.has(cause) && this.#findRepeated(other) === null,
    ).length;
  }

  /** A request of the crash that was at several crashes; null for none. */
  #findRepeated({ requests }: CrashRecord): string | null {
    const keys = [...requests.keys()];
    return keys.find((key) => (this.#records.get(key)?.presences ?? 0) >= crashesOfFew) ?? null;
  }

  #attribute(crash: CrashRecord, nowMs: number): void {
    const known = [...crash.parts].filter(
      (part) => this.#records.get(part)?.isSuspectedAt(crash.atMs, nowMs) === true,
    );
    if (known.length > 0) {
      this.#suspect(known, crash, nowMs);
    } else if (crash.isIsolated) {
      this.#attributeByRequests(crash, nowMs);
    } else {
      this.#attributeRequests(crash, nowMs);
      this.#attributeParts(crash, nowMs);
    }
  }

  /** Suspects the few requests of which one may have taken down a group. */
  #attributeRequests(crash: CrashRecord, nowMs: number): void {
    const isKnown = [...crash.requests.keys()].some(
      (key) => this.#records.get(key)?.isSuspectedAt(crash.atMs, nowMs) === true,
    );
    const keys = crash.listUnanswered().map(({ key }) => key);
    const unproved = keys.filter((key) => this.#answered.find(key, nowMs) === null);
    if (!isKnown && unproved.length <= maxSingleRequests) {
      this.#suspect(
        unproved.filter((key) => this.#countOthers(key, crash) === 0),
        crash,
        nowMs,
      );
    }
  }

  #attributeParts(crash: CrashRecord, nowMs: number): void {
    const { atMs } = crash;
    const candidates = [...crash.parts];
    const unanswered = candidates.filter((part) => this.#answered.find(part, nowMs) === null);
    if (unanswered.length > 0 && unanswered.length <= maxSingleSuspects) {
      this.#suspect(
        unanswered.filter((part) => this.#countOthers(part, crash) === 0),
        crash,
        nowMs,
      );
      return;
    }
    const possible = (unanswered.length > 0 ? unanswered : candidates).filter(
      (part) => (this.#answered.find(part, nowMs) ?? -Infinity) < atMs,
    );
    const crashes = possible.map((part) => this.#getRecord(part).noteCandidate(atMs));
    const repeated = possible.filter((_, index) => (crashes[index] ?? 0) >= crashesOfFew);
    const isNarrow = repeated.length <= fewSuspects;
    this.#suspect(
      possible.filter((_, index) => (crashes[index] ?? 0) >= (isNarrow ? crashesOfFew : crashesOfMany)),
      crash,
      nowMs,
    );
  }

  /** Suspects the parts that different requests have in common which were at targets that crashed one by one. */
  #attributeByRequests(crash: CrashRecord, nowMs: number): void {
    const parts = new Set(crash.listUnanswered().flatMap((request) => request.parts));
    // A crash that a request explains counts once for its parts, however often the request comes.
    const reason = this.#findRepeated(crash) ?? crash.key;
    const counts = [...parts]
      .filter((part) => (this.#answered.find(part, nowMs) ?? -Infinity) < crash.atMs)
      .map((part) => ({ part, reasons: this.#getRecord(part).noteReason(reason) }));
    const repeated = counts.filter(({ reasons }) => reasons >= crashesOfFew);
    const isNarrow =
      repeated.length <= fewSuspects &&
      repeated.every(({ part }) => this.#answered.find(part, nowMs) === null);
    const least = isNarrow ? crashesOfFew : crashesOfMany;
    const shown = repeated.filter(
      ({ part, reasons }) => reasons >= least && this.#countOthers(part, crash) === 0,
    );
    this.#suspect(
      shown.map(({ part }) => part),
      crash,
      nowMs,
    );
  }

  #suspect(causes: readonly string[], crash: CrashRecord, nowMs: number, isAmbiguous = false): void {
    for (const cause of causes) {
      const record = this.#getRecord(cause);
      const wasSuspected = record.isSuspectedAt(nowMs, nowMs);
      record.suspect(crash.key, nowMs, isAmbiguous);
      this.#revision += 1;
      if (!wasSuspected || getCauseKind(cause) === CauseKind.Request) {
        this.#attributions.push({ part: cause, crashes: record.crashes, target: crash.targetId });
      }
    }
  }

  #getRecord(cause: string): CauseRecord {
    const record = this.#records.get(cause) ?? new CauseRecord(cause);
    this.#records.set(cause, record);
    if (this.#records.size > maxRecords) {
      const others = [...this.#records.values()].filter((other) => other !== record);
      const weakest = others.reduce((left, right) => (left.weight <= right.weight ? left : right));
      this.#records.delete(weakest.key);
    }
    return record;
  }
}

/** Whether two crashes of one service are so near in time that they may have a cause outside of the requests. */
function isNear(left: CrashRecord, right: CrashRecord): boolean {
  return left.service === right.service && Math.abs(left.atMs - right.atMs) < sameCauseMs;
}
