import { ColdTable } from "@clementinemux/registry/ColdTable";
import type { ColdTarget } from "@clementinemux/registry/ColdTarget";
import type { TargetIncarnation } from "@clementinemux/registry/TargetIncarnation";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { ColdBounds } from "@clementinemux/routes/ColdBounds";
import type { ColdStart } from "@clementinemux/routes/ColdStart";
import { computeColdRatePerS } from "@clementinemux/routes/computeColdRatePerS";
import type { TargetRamps } from "./TargetRamps";

interface ColdTargetsOptions {
  /** Null if the service uses cold targets like warm ones. */
  readonly getColdStart: (service: string) => ColdStart | null;
  readonly bounds: ColdBounds;
  readonly ramps: TargetRamps;
}

interface ListUpdate {
  /** All targets that the gateway knows. */
  readonly targets: readonly TargetRecord[];
  /** What the coordinator knows of cold targets; null if it is of an earlier release. */
  readonly cold: readonly ColdTarget[] | null;
  /** Unix time. */
  readonly wallMs: number;
  /** Time of the clock by which cold times are counted down. */
  readonly nowMs: number;
}

/** Change of a target to cold, or to warm with no time left. */
interface ColdChange {
  readonly id: string;
  readonly leftMs: number;
}

/** Older than every heartbeat, so that the first one with a cold time applies. */
const assumedSequence = -Infinity;

/**
 * Which targets are cold, as far as this gateway knows. Each target that has just appeared or warmed up starts a ramp. Has no
 * I/O and no clock.
 */
export class ColdTargets {
  readonly #options: ColdTargetsOptions;
  readonly #table = new ColdTable();
  #listed: readonly TargetRecord[] = [];
  /** Targets of the last list; null before the first one. */
  #listedById: ReadonlyMap<string, TargetRecord> | null = null;
  #coldIds: ReadonlySet<string> = new Set();

  constructor(options: ColdTargetsOptions) {
    this.#options = options;
  }

  /** Whether no target is cold. */
  get isEmpty(): boolean {
    return this.#table.isEmpty;
  }

  /** Number of targets that are cold and need permits. */
  get size(): number {
    return this.#coldIds.size;
  }

  /** Ids of the targets that are cold and need permits. */
  listIds(): ReadonlySet<string> {
    return this.#coldIds;
  }

  /** Requests per second that a cold target may get from all gateways together; null for a warm one. */
  getRatePerS(target: TargetRecord, nowMs: number): number | null {
    return this.#table.getLeftMs(target, nowMs) === 0 ? null : this.getServiceRatePerS(target.service);
  }

  /** Requests per second that each cold target of a service may get; null if it uses cold targets like warm ones. */
  getServiceRatePerS(service: string): number | null {
    const coldStart = this.#options.getColdStart(service);
    return coldStart === null ? null : computeColdRatePerS(coldStart.requestsPerS, this.#options.bounds);
  }

  /** Applies what a coordinator reports. Returns the targets that have become cold or warm since the last report. */
  update({ targets, cold, wallMs, nowMs }: ListUpdate): ColdChange[] {
    const isFirstEmpty = this.#listedById === null && targets.length === 0;
    if (targets !== this.#listed && !isFirstEmpty) {
      this.#noteList(targets, cold !== null, wallMs, nowMs);
    }
    for (const item of this.#table.merge(cold ?? [], nowMs)) {
      this.#startRamp(item, nowMs);
    }
    return this.#takeChanges(nowMs);
  }

  #noteList(targets: readonly TargetRecord[], isStated: boolean, wallMs: number, nowMs: number): void {
    const before = this.#listedById;
    const added = targets.filter(({ id, bornMs }) => before?.get(id)?.bornMs !== bornMs);
    this.#listed = targets;
    this.#listedById = new Map(targets.map((target) => [target.id, target]));
    for (const target of added) {
      const { id, bornMs } = target;
      const coldStart = this.#options.getColdStart(target.service);
      const leftMs = getAssumedLeftMs(target, coldStart, isStated, wallMs);
      if (leftMs > 0) {
        this.#table.note({ id, bornMs, sequence: assumedSequence, leftMs }, nowMs);
      }
      // On the first list the gateway is new, not the targets, so only those assumed cold start a ramp.
      if (coldStart !== null && (before !== null || leftMs > 0)) {
        this.#startRamp(target, nowMs);
      }
    }
  }

  /** Starts the ramp of a target at the end of its cold time. */
  #startRamp(target: TargetIncarnation, nowMs: number): void {
    this.#options.ramps.moveStart(target.id, nowMs + this.#table.getLeftMs(target, nowMs));
  }

  #takeChanges(nowMs: number): ColdChange[] {
    const before = this.#coldIds;
    if (this.isEmpty && before.size === 0) {
      return [];
    }
    const cold = this.#table.list(nowMs).filter((item) => this.#needsPermits(item, nowMs));
    this.#coldIds = new Set(cold.map(({ id }) => id));
    const cooled = cold.filter(({ id }) => !before.has(id));
    const warmed = [...before].filter((id) => !this.#coldIds.has(id));
    return [
      ...cooled.map(({ id, leftMs }) => ({ id, leftMs: Math.round(leftMs) })),
      ...warmed.map((id) => ({ id, leftMs: 0 })),
    ];
  }

  #needsPermits({ id, bornMs }: ColdTarget, nowMs: number): boolean {
    const target = this.#listedById?.get(id);
    return target?.bornMs === bornMs && this.getRatePerS(target, nowMs) !== null;
  }
}

/** Time for which a new target is taken for cold that has not stated it, in ms. */
function getAssumedLeftMs(
  { bornMs, coldLeftMs }: TargetRecord,
  coldStart: ColdStart | null,
  isStated: boolean,
  wallMs: number,
): number {
  if (coldLeftMs !== undefined) {
    // Coordinators of an earlier release pass on what a heartbeat has stated, and do not count it down.
    return isStated ? 0 : coldLeftMs;
  }
  const durationMs = coldStart?.durationMs ?? 0;
  return Math.min(durationMs, Math.max(0, bornMs + durationMs - wallMs));
}
