import type { Clock } from "@clementinemux/common/Clock";
import type { Random } from "@clementinemux/common/Random";
import { AnsweredCauses } from "@clementinemux/crashes/AnsweredCauses";
import type { CrashEvidence } from "@clementinemux/crashes/CrashEvidence";
import type { CrashFindings } from "@clementinemux/crashes/CrashFindings";
import { CrashLedger } from "@clementinemux/crashes/CrashLedger";
import type { CrashReport } from "@clementinemux/crashes/CrashReport";
import { SuspectTable } from "@clementinemux/crashes/SuspectTable";
import type { TargetLink } from "./TargetLink";

interface CrashGuardOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Sends evidence to the relays; resolves with what they suspect. */
  readonly exchange: (evidence: CrashEvidence) => Promise<readonly CrashFindings[]>;
  readonly log: (event: string, fields: Readonly<Record<string, string | number>>) => void;
}

/** A broken attempt waits no longer than this for the state of its target. */
const askMs = 200;

/** Holds requests of this entry that are suspected of crashing targets, and learns from its attempts which they are. */
export class CrashGuard {
  readonly #options: CrashGuardOptions;
  readonly #suspects: SuspectTable;
  readonly #ledger = new CrashLedger({ isLocal: true });
  readonly #answered = new AnsweredCauses();
  /** Keys of which the relays want to know when they were last answered. */
  #watched: readonly string[] = [];

  constructor(options: CrashGuardOptions) {
    this.#options = options;
    this.#suspects = new SuspectTable(options.random);
  }

  /** Time until the request may be sent, in ms; 0 if it is not suspected of crashing targets. */
  getWaitMs(key: string): number {
    return this.#suspects.getWaitMs([key], this.#now());
  }

  noteSent(key: string): void {
    this.#suspects.noteSent([key], this.#now());
  }

  /** A target has answered the request completely. */
  noteAnswered(key: string): void {
    const nowMs = this.#now();
    this.#answered.note(key, nowMs);
    this.#ledger.merge({ reports: [], answered: [{ part: key, ageMs: 0 }], suspicions: [] }, nowMs);
  }

  /** Resolves when it is known whether an attempt broke since its target has crashed. */
  async examine(key: string, link: TargetLink, sentAtMs: number): Promise<void> {
    const brokeAtMs = this.#now();
    const { target, incarnation, service } = link.announcement;
    const crash = await link.findCrash(askMs);
    if (crash === null) {
      return;
    }
    this.#options.log("target crashed at a request", { target, request: key });
    const nowMs = this.#now();
    const answeredAtMs = this.#answered.find(key, nowMs);
    const answered = answeredAtMs === null ? {} : { answeredMs: nowMs - answeredAtMs };
    const report: CrashReport = {
      // The agent keeps its incarnation when its target crashes.
      target: { id: `${target}/${incarnation}/${crash}`, bornMs: 0 },
      ageMs: nowMs - brokeAtMs,
      parts: [],
      requests: [{ key, parts: [], hasBegun: false, sentMs: brokeAtMs - sentAtMs, ...answered }],
      service,
      isIsolated: true,
    };
    await this.#learn(report);
  }

  /** Tells the relays what they may lack, and takes over what they suspect. */
  async refresh(): Promise<void> {
    const nowMs = this.#now();
    this.#ledger.review(nowMs);
    const { reports } = this.#ledger.getEvidence(nowMs);
    const answered = this.#answered.list(this.#watched, nowMs);
    const suspicions = this.#suspects.list(nowMs);
    const findings = await this.#options.exchange({ reports, answered, suspicions });
    this.#watched = [...new Set(findings.flatMap(({ watched }) => watched))];
    findings.forEach((found) => {
      this.#suspects.update(found.suspicions, this.#now());
    });
  }

  async #learn(report: CrashReport): Promise<void> {
    this.#ledger.merge({ reports: [report], answered: [], suspicions: [] }, this.#now());
    this.#suspects.update(this.#ledger.getFindings(this.#now()).suspicions, this.#now());
    await this.refresh();
  }

  #now(): number {
    return this.#options.clock.monotonicMs();
  }
}
