import type { TargetIncarnation } from "./TargetIncarnation";
import type { TargetLimit } from "./TargetLimit";

/** The newest statement of one incarnation of a target. */
interface LimitStatement {
  readonly bornMs: number;
  readonly limitPerS: number | null;
  readonly statedAtMs: number;
}

/** A statement that a limit has ended is kept for this long, so that it reaches every process. */
const liftedKeepMs = 60_000;
/** Statements of a target that is not listed are kept as long as the registry keeps its record. */
const maxUnlistedMs = 60_000;
/**
 * The age of a statement leaves out its time on the way, so it looks newer than it is. One that lifts or raises a limit counts
 * as older by this much, so that it does not hide a later one that names the limit, or a lower one.
 */
const transitMarginMs = 400;

/** Limits that targets have stated, by incarnation. The newest statement applies. Takes the current time as a parameter. */
export class LimitTable {
  readonly #statements = new Map<string, LimitStatement>();
  /** Statements that this process has heard itself. Only these are passed on, so that a statement never looks newer by going round. */
  readonly #own = new Map<string, LimitStatement>();

  /** Whether there is no statement. */
  get isEmpty(): boolean {
    return this.#statements.size === 0;
  }

  /** Number of targets that name a limit. */
  get size(): number {
    return [...this.#statements.values()].filter(({ limitPerS }) => limitPerS !== null).length;
  }

  /** Records an answer of a target. Returns whether its limit has changed. */
  note(target: TargetIncarnation, limitPerS: number | null, statedAtMs: number): boolean {
    return this.#put(target, limitPerS, statedAtMs, true);
  }

  /** Applies statements that another process has heard itself. Returns those that changed a limit. */
  mergeOwn(limits: readonly TargetLimit[], nowMs: number): TargetLimit[] {
    return limits.filter((limit) =>
      this.#put(limit, limit.limitPerS, this.#getStatedAtMs(limit, nowMs), true),
    );
  }

  /** Applies the statements that another process knows of. Returns those that changed a limit. */
  merge(limits: readonly TargetLimit[], nowMs: number): TargetLimit[] {
    return limits.filter((limit) =>
      this.#put(limit, limit.limitPerS, this.#getStatedAtMs(limit, nowMs), false),
    );
  }

  /** Limit of an incarnation in requests per second; null when it has none. */
  getLimitPerS({ id, bornMs }: TargetIncarnation): number | null {
    const statement = this.#statements.get(id);
    return statement?.bornMs === bornMs ? statement.limitPerS : null;
  }

  /** Whether a later incarnation of the target has stated something. */
  isReplaced({ id, bornMs }: TargetIncarnation): boolean {
    return (this.#statements.get(id)?.bornMs ?? -Infinity) > bornMs;
  }

  /** Time since the last statement of an incarnation, in ms; infinite when there is none. */
  getAgeMs({ id, bornMs }: TargetIncarnation, nowMs: number): number {
    const statement = this.#statements.get(id);
    return statement?.bornMs === bornMs ? nowMs - statement.statedAtMs : Infinity;
  }

  list(nowMs: number): TargetLimit[] {
    return describe(this.#statements, nowMs);
  }

  /** Statements that this process has heard itself, or was told by those that have. */
  listOwn(nowMs: number): TargetLimit[] {
    return describe(this.#own, nowMs);
  }

  /** Removes statements of incarnations that have ended, and of limits that ended long ago. */
  retain(listed: readonly TargetIncarnation[], nowMs: number): void {
    const listedBornMs = new Map(listed.map(({ id, bornMs }) => [id, bornMs]));
    for (const [id, { bornMs, limitPerS, statedAtMs }] of this.#statements) {
      const listedAtMs = listedBornMs.get(id);
      const ageMs = nowMs - statedAtMs;
      const hasEnded = listedAtMs === undefined ? ageMs > maxUnlistedMs : listedAtMs > bornMs;
      if (hasEnded || (limitPerS === null && ageMs > liftedKeepMs)) {
        this.#statements.delete(id);
        this.#own.delete(id);
      }
    }
  }

  /** When another process's statement was made at the latest, with a margin for its time on the way where it allows more. */
  #getStatedAtMs(limit: TargetLimit, nowMs: number): number {
    const known = this.getLimitPerS(limit);
    const allowsMore = limit.limitPerS === null || (known !== null && limit.limitPerS > known);
    return nowMs - limit.ageMs - (allowsMore ? transitMarginMs : 0);
  }

  #put(
    { id, bornMs }: TargetIncarnation,
    limitPerS: number | null,
    statedAtMs: number,
    isOwn: boolean,
  ): boolean {
    const known = this.#statements.get(id);
    const isOlder = known !== undefined && (bornMs < known.bornMs || isBefore(known, bornMs, statedAtMs));
    // A target that never named a limit needs no statement.
    if (isOlder || (limitPerS === null && known?.bornMs !== bornMs)) {
      return false;
    }
    const statement = { bornMs, limitPerS, statedAtMs };
    this.#statements.set(id, statement);
    if (isOwn) {
      this.#own.set(id, statement);
    }
    return limitPerS !== (known?.bornMs === bornMs ? known.limitPerS : null);
  }
}

function isBefore(known: LimitStatement, bornMs: number, statedAtMs: number): boolean {
  return bornMs === known.bornMs && statedAtMs < known.statedAtMs;
}

function describe(statements: ReadonlyMap<string, LimitStatement>, nowMs: number): TargetLimit[] {
  return [...statements].map(([id, { bornMs, limitPerS, statedAtMs }]) => ({
    id,
    bornMs,
    limitPerS,
    ageMs: Math.max(0, nowMs - statedAtMs),
  }));
}
