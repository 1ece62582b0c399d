import type { LimitTable } from "@clementinemux/registry/LimitTable";
import type { PermitAnswer } from "@clementinemux/registry/PermitAnswer";
import type { PermitAsk } from "@clementinemux/registry/PermitAsk";
import type { TargetIncarnation } from "@clementinemux/registry/TargetIncarnation";

/** The permits that one incarnation of a target has used up. */
interface PermitSchedule {
  readonly bornMs: number;
  /** When the last permit may be used, in ms. */
  lastStartMs: number;
}

/** A permit is never promised for later than this: a new leader does not know of the promises of the last one. */
const maxPromiseMs = 1000;
/** Permits of this time may be used together, so that a high limit is reached by requests that arrive unevenly. */
const burstMs = 100;

/**
 * Hands out permits for requests to limited targets, for all gateways together: each target has one schedule, in which
 * permits follow each other at the interval of its limit. A schedule starts without a permit, as the leader before may have
 * handed one out just now. Has no I/O and no clock.
 */
export class FleetLimiter {
  readonly #limits: LimitTable;
  readonly #schedules = new Map<string, PermitSchedule>();
  #term = 0;

  constructor(limits: LimitTable) {
    this.#limits = limits;
  }

  /** Grants the permit that can be used first if it comes in time. `term` is the leader's; a new one starts all schedules anew. */
  take(ask: PermitAsk, term: number, nowMs: number): PermitAnswer {
    this.#enter(term);
    const waits = ask.targets.map((target) => ({ target, waitMs: this.#getWaitMs(target, nowMs) }));
    const [first] = [...waits].sort((a, b) => a.waitMs - b.waitMs);
    const isGranted = first !== undefined && first.waitMs <= Math.min(ask.maxWaitMs, maxPromiseMs);
    if (isGranted) {
      this.#book(first.target, nowMs);
    }
    const freeInMs = ask.targets.map(
      (target) => [target.id, toFinite(this.#getWaitMs(target, nowMs))] as const,
    );
    return {
      target: isGranted ? first.target.id : null,
      startInMs: isGranted ? first.waitMs : 0,
      freeInMs: Object.fromEntries(freeInMs),
    };
  }

  /** Removes schedules of incarnations that have ended. */
  retain(listed: readonly TargetIncarnation[]): void {
    const listedBornMs = new Map(listed.map(({ id, bornMs }) => [id, bornMs]));
    for (const [id, { bornMs }] of this.#schedules) {
      if (listedBornMs.get(id) !== bornMs) {
        this.#schedules.delete(id);
      }
    }
  }

  #enter(term: number): void {
    if (term !== this.#term) {
      this.#term = term;
      this.#schedules.clear();
    }
  }

  #getWaitMs(target: TargetIncarnation, nowMs: number): number {
    return Math.max(0, this.#getNextStartMs(target, nowMs) - nowMs);
  }

  #book(target: TargetIncarnation, nowMs: number): void {
    const nextStartMs = this.#getNextStartMs(target, nowMs);
    this.#getSchedule(target, nowMs).lastStartMs = nextStartMs;
  }

  /** When the next permit may be used: after the last one, and with at most `burstMs` made up for. */
  #getNextStartMs(target: TargetIncarnation, nowMs: number): number {
    if (this.#isReplaced(target)) {
      // A gateway that does not know of the restart yet: its request would reach the later incarnation, under the same id.
      return Infinity;
    }
    const limitPerS = this.#limits.getLimitPerS(target);
    const { lastStartMs } = this.#getSchedule(target, nowMs);
    if (limitPerS === null) {
      // The gateway names a limit that is known to have ended.
      return nowMs;
    }
    return limitPerS === 0 ? Infinity : Math.max(nowMs - burstMs, lastStartMs + 1000 / limitPerS);
  }

  #isReplaced(target: TargetIncarnation): boolean {
    const schedule = this.#schedules.get(target.id);
    return this.#limits.isReplaced(target) || (schedule !== undefined && schedule.bornMs > target.bornMs);
  }

  #getSchedule({ id, bornMs }: TargetIncarnation, nowMs: number): PermitSchedule {
    const known = this.#schedules.get(id);
    if (known?.bornMs === bornMs) {
      return known;
    }
    const schedule = { bornMs, lastStartMs: nowMs };
    this.#schedules.set(id, schedule);
    return schedule;
  }
}

function toFinite(waitMs: number): number | null {
  return Number.isFinite(waitMs) ? waitMs : null;
}
