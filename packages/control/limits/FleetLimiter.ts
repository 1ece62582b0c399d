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

type GetColdRate = (target: TargetIncarnation) => number | null;

/** A permit is never promised for later than this: a new leader does not know of the promises of the last one. */
const maxPromiseMs = 1000;
/** Permits of this time may be used together, so that a high limit is reached by requests that arrive unevenly. */
const burstMs = 100;
/** Schedules of targets that are not listed are kept as long as the registry keeps its record. */
const maxUnlistedMs = 60_000;

/**
 * Hands out permits for requests to limited targets, for all gateways together: each target has one schedule, in which
 * permits follow each other at the interval of its limit. A schedule starts without a permit, as the leader before may have
 * handed one out just now. Cold targets are limited too, while they are cold. Has no I/O and no clock.
 */
export class FleetLimiter {
  readonly #limits: LimitTable;
  readonly #schedules = new Map<string, PermitSchedule>();
  #term = 0;

  constructor(limits: LimitTable) {
    this.#limits = limits;
  }

  /** Whether there is no schedule. */
  get isEmpty(): boolean {
    return this.#schedules.size === 0;
  }

  /**
   * Grants the permit that can be used first if it comes in time. `term` is the leader's; a new one starts all schedules anew.
   * `getColdRatePerS` returns the requests per second that a cold target may get, and null for a warm one.
   */
  take(ask: PermitAsk, term: number, nowMs: number, getColdRatePerS: GetColdRate = () => null): PermitAnswer {
    this.#enter(term);
    const starts = ask.targets.map((target) => {
      const ratePerS = this.#getRatePerS(target, getColdRatePerS(target));
      return { target, ratePerS, startMs: this.#getNextStartMs(target, ratePerS, nowMs) };
    });
    const [first] = [...starts].sort((a, b) => a.startMs - b.startMs);
    const waitMs = Math.max(0, (first?.startMs ?? Infinity) - nowMs);
    const isGranted = first !== undefined && waitMs <= Math.min(ask.maxWaitMs, maxPromiseMs);
    if (isGranted) {
      this.#getSchedule(first.target, nowMs).lastStartMs = first.startMs;
    }
    const freeInMs = starts.map(({ target, ratePerS }) => {
      const startMs = this.#getNextStartMs(target, ratePerS, nowMs);
      return [target.id, toFinite(Math.max(0, startMs - nowMs))] as const;
    });
    return {
      target: isGranted ? first.target.id : null,
      startInMs: isGranted ? waitMs : 0,
      freeInMs: Object.fromEntries(freeInMs),
    };
  }

  /**
   * Removes schedules of incarnations that have ended. One of a target that is not listed here yet, or in a later incarnation,
   * is kept: another one in its place would not know of its promises.
   */
  retain(listed: readonly TargetIncarnation[], nowMs: number): void {
    const listedBornMs = new Map(listed.map(({ id, bornMs }) => [id, bornMs]));
    for (const [id, { bornMs, lastStartMs }] of this.#schedules) {
      const listedAtMs = listedBornMs.get(id);
      const hasEnded = listedAtMs === undefined ? nowMs - lastStartMs > maxUnlistedMs : listedAtMs > bornMs;
      if (hasEnded) {
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

  /** The lower one of what a target has stated and of what a cold target may get; null when there is neither. */
  #getRatePerS(target: TargetIncarnation, coldRatePerS: number | null): number | null {
    const limitPerS = this.#limits.getLimitPerS(target);
    const ratePerS = Math.min(limitPerS ?? Infinity, coldRatePerS ?? Infinity);
    return Number.isFinite(ratePerS) ? ratePerS : null;
  }

  /** When the next permit may be used: after the last one, and with at most `burstMs` made up for. */
  #getNextStartMs(target: TargetIncarnation, ratePerS: number | null, nowMs: number): number {
    if (this.#isReplaced(target)) {
      // A gateway that does not know of the restart yet: its request would reach the later incarnation, under the same id.
      return Infinity;
    }
    const { lastStartMs } = this.#getSchedule(target, nowMs);
    if (ratePerS === null) {
      // The gateway names a limit that is known to have ended.
      return nowMs;
    }
    return ratePerS === 0 ? Infinity : Math.max(nowMs - burstMs, lastStartMs + 1000 / ratePerS);
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
    // What was promised to the incarnation before would reach this one, which has the same address.
    const schedule = { bornMs, lastStartMs: Math.max(nowMs, known?.lastStartMs ?? -Infinity) };
    this.#schedules.set(id, schedule);
    return schedule;
  }
}

function toFinite(waitMs: number): number | null {
  return Number.isFinite(waitMs) ? waitMs : null;
}
