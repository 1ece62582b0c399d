import { setTimeout as delay } from "node:timers/promises";
import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import type { TargetRegistry } from "@clementinemux/registry/TargetRegistry";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { PeerLinks } from "@clementinemux/wire/PeerLinks";
import type { ReplicatedGroup } from "../ReplicatedGroup";
import { callLeader } from "../callLeader";
import type { DocumentCommand } from "../routes/DocumentCommand";
import type { EndReport } from "./EndReport";
import type { EndTable } from "./EndTable";
import type { TargetEnd } from "./TargetEnd";

interface EndRecorderOptions {
  readonly group: Pick<ReplicatedGroup, "isLeader" | "propose" | "getLeaderAddress" | "createNotLeaderError">;
  readonly table: EndTable;
  readonly targets: TargetRegistry;
  readonly links: PeerLinks;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A report that is not recorded yet. */
interface PendingReport {
  readonly report: EndReport;
  readonly receivedAtMs: number;
  lastCallAtMs: number;
  /** Calls that wait for the record. */
  readonly callers: Set<(isRecorded: boolean) => void>;
}

/** Reports that arrive during a write are collected until it ends, so that they share an entry; behind a disk that hangs, for this long. */
const batchIntervalMs = 20;
/** At 300 bytes for the longest ids, a batch fits into a frame. */
const maxBatchReports = 500;
/** Callers ask another coordinator after a second without a response. */
const answerTimeoutMs = 900;
/**
 * Time of one attempt. A leader that stands still must not hold a report back until the next one leads; the next attempt waits
 * for a write that is slow.
 */
const attemptTimeoutMs = 300;
/** Interval of attempts while no leader is known, or after one that failed. */
const retryIntervalMs = 50;
/**
 * A report is sent to the leader for this long after the last call for it: an election over slow disks takes seconds, and a
 * target that gets no acknowledgement ends all the same.
 */
const giveUpAfterMs = 10_000;
/**
 * Largest difference between the times of day of a target's machine and of the leader's. An incarnation that started within it
 * before the removal of an unknown target may be the next one.
 */
const maxClockDifferenceMs = 5000;

/**
 * Records ends of targets in the `routes` log; followers forward them to the leader. Reports that arrive together share an
 * entry. A report outlasts the call that brought it, so that a call at another coordinator, or a repeated one, finds the end
 * recorded or on its way.
 */
export class EndRecorder {
  readonly #options: EndRecorderOptions;
  /** Reports that are not recorded yet, by their content. */
  readonly #pending = new Map<string, PendingReport>();
  #queue: PendingReport[] = [];
  #inFlight = 0;
  #timer: NodeJS.Timeout | null = null;
  /** Proposals of this replica as the leader, by the content of their reports. */
  readonly #proposals = new Map<string, Promise<void>>();
  #isClosed = false;

  constructor(options: EndRecorderOptions) {
    this.#options = options;
  }

  /** Resolves within `answerTimeoutMs` with whether the end is known to be on the disks of a majority. Never rejects. */
  record(report: EndReport): Promise<boolean> {
    return new Promise((resolve) => {
      const pending = this.#enqueue(report);
      const answer = (isRecorded: boolean): void => {
        clearTimeout(timer);
        pending.callers.delete(answer);
        resolve(isRecorded);
      };
      const timer = setTimeout(() => {
        answer(false);
      }, answerTimeoutMs);
      pending.callers.add(answer);
    });
  }

  /** Proposes the reports that wait for a leader, now that this replica leads. */
  onElected(): void {
    this.#flush();
  }

  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer ?? undefined);
  }

  /**
   * Commits ends that are not recorded yet; those that are being written are waited for. Throws an error when this replica
   * does not lead, or the outcome is unknown.
   */
  async recordAsLeader(reports: readonly EndReport[]): Promise<void> {
    const { group } = this.#options;
    if (!group.isLeader) {
      throw group.createNotLeaderError();
    }
    const proposed = new Set(reports.flatMap((report) => this.#proposals.get(getKey(report)) ?? []));
    const unproposed = reports.filter((report) => !this.#proposals.has(getKey(report)));
    await Promise.all([...proposed, this.#proposeEnds(unproposed)]);
  }

  async #proposeEnds(reports: readonly EndReport[]): Promise<void> {
    const { group, table, clock } = this.#options;
    const nowMs = clock.wallMs();
    const ends = reports
      .map((report) => this.#identify(report, nowMs))
      .filter((end) => !table.covers(end, nowMs));
    if (ends.length === 0) {
      return;
    }
    const command: DocumentCommand = { version: 0, bytes: new Uint8Array(), ends };
    const proposal = group.propose(command).then((result) => {
      result.ifLeft((error) => {
        throw error;
      });
    });
    const keys = reports.map(getKey);
    for (const key of keys) {
      this.#proposals.set(key, proposal);
    }
    try {
      await proposal;
    } finally {
      for (const key of keys) {
        this.#proposals.delete(key);
      }
    }
  }

  /** Names the incarnation that has ended, and stamps the end. */
  #identify({ id, bornMs, isGone, sequence }: EndReport, nowMs: number): TargetEnd {
    const { targets, table } = this.#options;
    const known = bornMs === null ? targets.find(id) : null;
    const unknownBornMs = Math.max(nowMs - maxClockDifferenceMs, table.getBornMs(id));
    return {
      id,
      bornMs: bornMs ?? known?.bornMs ?? unknownBornMs,
      isGone,
      sequence: known?.sequence ?? sequence,
      recordedAtWallMs: nowMs,
    };
  }

  #enqueue(report: EndReport): PendingReport {
    const key = getKey(report);
    const nowMs = this.#options.clock.monotonicMs();
    const known = this.#pending.get(key);
    if (known !== undefined) {
      known.lastCallAtMs = nowMs;
      return known;
    }
    const pending: PendingReport = { report, receivedAtMs: nowMs, lastCallAtMs: nowMs, callers: new Set() };
    this.#pending.set(key, pending);
    this.#queue.push(pending);
    this.#schedule();
    return pending;
  }

  /** Sends what is queued when no write is in flight any more, or after `batchIntervalMs`. */
  #schedule(): void {
    if (this.#queue.length === 0 || this.#isClosed) {
      return;
    }
    if (!this.#hasLeader()) {
      this.#flushAfter(retryIntervalMs);
    } else if (this.#inFlight === 0) {
      setImmediate(() => {
        this.#flush();
      });
    } else {
      this.#flushAfter(batchIntervalMs);
    }
  }

  #flushAfter(delayMs: number): void {
    this.#timer ??= setTimeout(() => {
      this.#flush();
    }, delayMs);
  }

  #hasLeader(): boolean {
    const { group } = this.#options;
    return group.isLeader || group.getLeaderAddress() !== null;
  }

  #flush(): void {
    clearTimeout(this.#timer ?? undefined);
    this.#timer = null;
    this.#queue = this.#queue.filter((pending) => !this.#giveUp(pending));
    if (this.#hasLeader() && !this.#isClosed) {
      const batch = this.#queue.splice(0, maxBatchReports);
      if (batch.length > 0) {
        this.#inFlight += 1;
        void this.#send(batch);
      }
    }
    this.#schedule();
  }

  async #send(batch: readonly PendingReport[]): Promise<void> {
    const isRecorded = await this.#submit(batch.map(({ report }) => report));
    this.#inFlight -= 1;
    if (!isRecorded) {
      setTimeout(() => {
        this.#queue.push(...batch);
        this.#schedule();
      }, retryIntervalMs);
      return;
    }
    const { clock, logger } = this.#options;
    const waitedMs = Math.round(clock.monotonicMs() - Math.min(...batch.map(({ receivedAtMs: at }) => at)));
    logger.info({ ids: batch.map(({ report }) => report.id), waitedMs }, "ends of targets recorded");
    for (const pending of batch) {
      this.#finish(pending, true);
    }
    this.#schedule();
  }

  /**
   * Drops a report after too many failed attempts. Returns whether it did. The removal of an unknown target does not outlast
   * its call: the leader would take it for that of the incarnation that it knows by then.
   */
  #giveUp(pending: PendingReport): boolean {
    const { clock, logger } = this.#options;
    const { report, lastCallAtMs } = pending;
    const limitMs = report.bornMs === null ? answerTimeoutMs : giveUpAfterMs;
    if (clock.monotonicMs() - lastCallAtMs <= limitMs) {
      return false;
    }
    logger.warn({ id: report.id, bornMs: report.bornMs }, "end of a target given up");
    this.#finish(pending, false);
    return true;
  }

  #finish({ report, callers }: PendingReport, isRecorded: boolean): void {
    this.#pending.delete(getKey(report));
    for (const answer of [...callers]) {
      answer(isRecorded);
    }
  }

  async #submit(reports: readonly EndReport[]): Promise<boolean> {
    const { group, links, logger } = this.#options;
    try {
      if (group.isLeader) {
        return await Promise.race([
          this.recordAsLeader(reports).then(() => true),
          delay(attemptTimeoutMs, false, { ref: false }),
        ]);
      }
      await callLeader(group, links, MessageName.RecordEnds, reports, attemptTimeoutMs);
      return true;
    } catch (error) {
      const ids = reports.map(({ id }) => id);
      logger.info({ ids, error: String(error) }, "ends of targets not recorded yet");
      return false;
    }
  }
}

/** Identifies reports of the same end. */
function getKey({ id, bornMs, isGone, sequence }: EndReport): string {
  return `${id} ${bornMs} ${isGone} ${sequence}`;
}
