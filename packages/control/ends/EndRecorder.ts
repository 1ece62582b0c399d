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

interface QueuedReport {
  readonly report: EndReport;
  readonly resolve: (isRecorded: boolean) => void;
}

/** Reports that arrive during a write are collected until it ends, so that they share an entry; behind a disk that hangs, for this long. */
const batchIntervalMs = 20;
/** At 300 bytes for the longest ids, a batch fits into a frame. */
const maxBatchReports = 500;
/**
 * Largest difference between the times of day of a target's machine and of the leader's. An incarnation that started within it
 * before the removal of an unknown target may be the next one.
 */
const maxClockDifferenceMs = 5000;

/** Records ends of targets in the `routes` log; followers forward them to the leader. Reports that arrive together share an entry. */
export class EndRecorder {
  readonly #options: EndRecorderOptions;
  #queue: QueuedReport[] = [];
  #inFlight = 0;
  #timer: NodeJS.Timeout | null = null;

  constructor(options: EndRecorderOptions) {
    this.#options = options;
  }

  /** Resolves with whether the end is known to be on the disks of a majority. Never rejects. */
  record(report: EndReport): Promise<boolean> {
    return new Promise((resolve) => {
      this.#queue.push({ report, resolve });
      this.#schedule();
    });
  }

  /** Commits ends that are not recorded yet. Throws an error when this replica does not lead, or the outcome is unknown. */
  async recordAsLeader(reports: readonly EndReport[]): Promise<void> {
    const { group, table, clock } = this.#options;
    if (!group.isLeader) {
      throw group.createNotLeaderError();
    }
    const nowMs = clock.wallMs();
    const ends = reports
      .map((report) => this.#identify(report, nowMs))
      .filter((end) => !table.covers(end, nowMs));
    if (ends.length === 0) {
      return;
    }
    const command: DocumentCommand = { version: 0, bytes: new Uint8Array(), ends };
    const result = await group.propose(command);
    result.ifLeft((error) => {
      throw error;
    });
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

  /** Sends what is queued when no write is in flight any more, or after `batchIntervalMs`. */
  #schedule(): void {
    if (this.#queue.length === 0) {
      return;
    }
    if (this.#inFlight === 0) {
      setImmediate(() => {
        this.#flush();
      });
    } else {
      this.#timer ??= setTimeout(() => {
        this.#flush();
      }, batchIntervalMs);
    }
  }

  #flush(): void {
    clearTimeout(this.#timer ?? undefined);
    this.#timer = null;
    const batch = this.#queue.splice(0, maxBatchReports);
    if (batch.length > 0) {
      this.#inFlight += 1;
      void this.#send(batch);
    }
    this.#schedule();
  }

  async #send(batch: readonly QueuedReport[]): Promise<void> {
    const isRecorded = await this.#submit(batch.map(({ report }) => report));
    this.#inFlight -= 1;
    for (const { resolve } of batch) {
      resolve(isRecorded);
    }
    this.#schedule();
  }

  async #submit(reports: readonly EndReport[]): Promise<boolean> {
    const { group, links, logger } = this.#options;
    try {
      if (group.isLeader) {
        await this.recordAsLeader(reports);
      } else {
        await callLeader(group, links, MessageName.RecordEnds, reports);
      }
      return true;
    } catch (error) {
      const ids = reports.map(({ id }) => id);
      logger.warn({ ids, error: String(error) }, "ends of targets not recorded");
      return false;
    }
  }
}
