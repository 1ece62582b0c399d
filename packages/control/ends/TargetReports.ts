import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import type { Counters } from "@clementinemux/metrics/Counters";
import type { TargetIncarnation } from "@clementinemux/registry/TargetIncarnation";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { TargetRegistry } from "@clementinemux/registry/TargetRegistry";
import type { EndReport } from "./EndReport";
import { EndOutcome } from "./EndOutcome";
import { EndState } from "./EndState";
import type { EndTable } from "./EndTable";

interface TargetReportsOptions {
  readonly targets: TargetRegistry;
  readonly ends: EndTable;
  /** Resolves with whether the end is on the disks of a majority of the voters. */
  readonly record: (report: EndReport) => Promise<boolean>;
  /** Sends the registry to the other coordinators at once. */
  readonly replicate: () => void;
  /** Whether this process has applied, since its start, all that was committed before; asked until it is true. */
  readonly isCaughtUp: () => boolean;
  /** Whether every live target has reported to this process. */
  readonly isComplete: () => boolean;
  /** Whether this process is in contact with the leader. */
  readonly isCurrent: () => boolean;
  readonly outcomes: Counters<EndOutcome>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Receives what targets report of themselves, directly or through other coordinators, and holds it against the recorded ends
 * before it reaches the registry.
 */
export class TargetReports {
  readonly #options: TargetReportsOptions;
  /** Heartbeats received before the recorded ends were known; null since then. */
  #early: TargetRegistry | null = new TargetRegistry();

  constructor(options: TargetReportsOptions) {
    this.#options = options;
  }

  /** Whether the recorded ends are known, so that what targets report reaches the registry. */
  get isCaughtUp(): boolean {
    this.update();
    return this.#early === null;
  }

  /** Receives a target's heartbeat. Resolves with whether the call may be acknowledged. */
  async register(target: TargetRecord): Promise<boolean> {
    const { targets, ends, isCurrent, clock, logger } = this.#options;
    if (this.#hold(target, clock.monotonicMs(), null)) {
      return false;
    }
    const known = targets.find(target.id);
    const before = targets.lastChangeNumber;
    const coldBefore = targets.lastColdChangeNumber;
    const state = this.#put(target, clock.monotonicMs(), null);
    const { id, service, address, isDraining, bornMs, sequence } = target;
    if (targets.lastChangeNumber !== before) {
      logger.info({ id, service, address, isDraining, bornMs }, "target changed");
    }
    if (targets.lastColdChangeNumber !== coldBefore) {
      logger.info({ id, service, bornMs, coldLeftMs: target.coldLeftMs }, "cold time of a target changed");
      // The other coordinators learn this at once, since their gateways may send requests until they know it.
      this.#options.replicate();
    }
    if (!isDraining || state === EndState.Ended) {
      if (state !== EndState.Open) {
        logger.info({ id, bornMs, sequence, state }, "late heartbeat of a target that has left");
      }
      // A partitioned coordinator does not acknowledge heartbeats, so that targets register with the others.
      return isCurrent();
    }
    const drainSequence = ends.getDrainSequence(target, clock.wallMs());
    const wasTakenBack =
      drainSequence !== null &&
      known?.bornMs === bornMs &&
      !known.isDraining &&
      known.sequence > drainSequence;
    return drainSequence !== null && !wasTakenBack
      ? this.#noteKnown()
      : this.#record({ id, bornMs, isGone: false, sequence }, true);
  }

  /**
   * Removes a target. Resolves with whether the call may be acknowledged. While this process has just started, a target that
   * it does not know may be in use elsewhere.
   */
  async remove(id: string): Promise<boolean> {
    const { targets, ends, isComplete, clock, logger } = this.#options;
    if (!this.isCaughtUp) {
      return false;
    }
    const removed = targets.remove(id, clock.monotonicMs());
    if (removed === null) {
      return isComplete() && this.#record({ id, bornMs: null, isGone: true, sequence: 0 }, false);
    }
    logger.info({ id }, "target removed");
    const { bornMs, sequence } = removed;
    const report = { id, bornMs, isGone: true, sequence };
    return ends.covers(report, clock.wallMs()) ? this.#noteKnown() : this.#record(report, true);
  }

  /** Receives a record that another coordinator passes on. */
  receive(target: TargetRecord, seenAtMs: number, via: string): void {
    if (!this.#hold(target, seenAtMs, via)) {
      this.#put(target, seenAtMs, via);
    }
  }

  /** Passes on what was received too early, as soon as the recorded ends are known. */
  update(): void {
    const early = this.#early;
    if (early === null || !this.#options.isCaughtUp()) {
      return;
    }
    this.#early = null;
    const { ends, clock, logger } = this.#options;
    logger.info({ recent: ends.listRecent(clock.wallMs()).length, all: ends.size }, "recorded ends known");
    for (const { target, lastSeenAtMs, via } of early.changedSince(0)) {
      this.#put(target, lastSeenAtMs, via);
    }
  }

  /** Drops old records. Takes time for each of them, so it is called in intervals. */
  expire(): void {
    this.update();
    const nowMs = this.#options.clock.monotonicMs();
    this.#options.targets.expire(nowMs);
    this.#early?.expire(nowMs);
  }

  /** Records of targets that have ended lately, for gateways whose list is older than this process; later incarnations are left out. */
  listEnded(): TargetRecord[] {
    const { targets, ends, clock } = this.#options;
    return ends
      .listRecent(clock.wallMs())
      .filter(({ id, bornMs }) => (targets.find(id)?.bornMs ?? -Infinity) < bornMs)
      .map(({ id, bornMs, sequence }) => {
        const unknown = { service: "", address: "", failureDomain: "", slots: 1 };
        return { id, ...unknown, isDraining: true, isLeaving: false, isGone: true, bornMs, sequence };
      });
  }

  /** Incarnations that have unregistered lately, also if that is not recorded yet; those that were only superseded are left out. */
  listUnregistered(): TargetIncarnation[] {
    const { targets, ends, clock } = this.#options;
    const recorded = ends.listRecent(clock.wallMs()).filter(({ isGone }) => isGone);
    const removed = targets.listGone().filter(({ isDraining }) => isDraining);
    return [...recorded, ...removed].map(({ id, bornMs }) => ({ id, bornMs }));
  }

  /** Keeps a record aside while the recorded ends are not known yet. Returns whether it did. */
  #hold(target: TargetRecord, seenAtMs: number, via: string | null): boolean {
    this.update();
    this.#early?.put(target, seenAtMs, via);
    return this.#early !== null;
  }

  #put(target: TargetRecord, seenAtMs: number, via: string | null): EndState {
    const { targets, ends, clock } = this.#options;
    const state = ends.getState(target, clock.wallMs());
    if (state !== EndState.Ended) {
      targets.put(state === EndState.Draining ? { ...target, isDraining: true } : target, seenAtMs, via);
    }
    return state;
  }

  #noteKnown(): boolean {
    this.#options.outcomes.add(EndOutcome.Known);
    return true;
  }

  /**
   * Records an end. `isListed` tells whether the registry has changed, so that the others are told without a wait for the
   * log. The acknowledgement doesn't depend on that: every coordinator applies the record.
   */
  async #record(report: EndReport, isListed: boolean): Promise<boolean> {
    const { record, replicate, outcomes } = this.#options;
    if (isListed) {
      replicate();
    }
    const isRecorded = await record(report);
    outcomes.add(isRecorded ? EndOutcome.Recorded : EndOutcome.Unknown);
    return isRecorded;
  }
}
