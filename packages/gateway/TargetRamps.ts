import type { Random } from "@clementinemux/common/Random";

interface TargetRampsOptions {
  /** Gateways that share the requests of a target. */
  readonly getLiveEntries: () => number;
  readonly random: Random;
}

interface Ramp {
  /** May be in the future: the end of a cold time or of a pause. */
  startMs: number;
  isSuspected: boolean;
  credit: number;
  creditAtMs: number;
}

/** After this time, a target gets 64 times the rate of a cold one, which is more than its slots take. */
const rampMs = 3000;
/** The rate of a target doubles in this time, so that one that becomes cold again has had less than the bound until then. */
const doublingMs = 500;
/** Requests of this time may be sent together. */
const burstS = 0.1;

/**
 * Limits the requests of this gateway to targets that have just appeared, returned or warmed up. All gateways together start at
 * the rate of a cold target, and each has its share of it. Shares of less than a request start at a random part of one, so that
 * many gateways keep to the rate together. Takes the current time as a parameter.
 */
export class TargetRamps {
  readonly #options: TargetRampsOptions;
  readonly #ramps = new Map<string, Ramp>();

  constructor(options: TargetRampsOptions) {
    this.#options = options;
  }

  get isEmpty(): boolean {
    return this.#ramps.size === 0;
  }

  /** Number of targets that get a limited share, or will after a pause or a cold time. */
  get size(): number {
    return this.#ramps.size;
  }

  /**
   * Starts the ramp of a target, now or later. `isSuspected` tells that this gateway has only seen a pause, or a failure
   * after which the target may have restarted.
   */
  start(id: string, startMs: number, isSuspected: boolean): void {
    const known = this.#ramps.get(id);
    if (known === undefined) {
      this.#ramps.set(id, { startMs, isSuspected, credit: this.#options.random(), creditAtMs: startMs });
    } else if (startMs >= known.startMs) {
      // A suspicion does not weaken a ramp that runs since the target is known to have restarted.
      const isRunning = startMs < known.startMs + rampMs;
      this.#move(known, startMs, isSuspected && (known.isSuspected || !isRunning));
    }
  }

  /** Starts the ramp of a target at a time, also if that is before the start that was planned. */
  moveStart(id: string, startMs: number): void {
    this.start(id, startMs, false);
    const known = this.#ramps.get(id);
    if (known !== undefined && known.startMs !== startMs) {
      this.#move(known, startMs, false);
    }
  }

  /** Whether the target is in its ramp only since this gateway has seen a failure or a pause. */
  isSuspected(id: string): boolean {
    return this.#ramps.get(id)?.isSuspected === true;
  }

  /** Whether the target may not get a request yet. `ratePerS` is what a cold target may get from all gateways together. */
  isHeld(id: string, ratePerS: number, nowMs: number): boolean {
    const ramp = this.#ramps.get(id);
    if (ramp === undefined || nowMs >= ramp.startMs + rampMs) {
      this.#ramps.delete(id);
      return false;
    }
    this.#accrue(ramp, ratePerS / Math.max(1, this.#options.getLiveEntries()), nowMs);
    return ramp.credit < 1;
  }

  /** Counts a request to a target. */
  noteSent(id: string, nowMs: number): void {
    const ramp = this.#ramps.get(id);
    if (ramp !== undefined && nowMs >= ramp.startMs) {
      ramp.credit = Math.max(0, ramp.credit - 1);
    }
  }

  /** Removes the ramps that are over, and those of targets that are not listed. */
  retain(ids: ReadonlySet<string>, nowMs: number): void {
    for (const [id, { startMs }] of this.#ramps) {
      if (!ids.has(id) || nowMs >= startMs + rampMs) {
        this.#ramps.delete(id);
      }
    }
  }

  #move(ramp: Ramp, startMs: number, isSuspected: boolean): void {
    ramp.startMs = startMs;
    ramp.isSuspected = isSuspected;
    ramp.creditAtMs = startMs;
    // Saved-up requests of many gateways would come together.
    ramp.credit = ramp.credit < 1 ? ramp.credit : this.#options.random();
  }

  #accrue(ramp: Ramp, sharePerS: number, nowMs: number): void {
    if (nowMs <= ramp.creditAtMs) {
      return;
    }
    const grownFrom = 2 ** ((ramp.creditAtMs - ramp.startMs) / doublingMs);
    const grownTo = 2 ** ((nowMs - ramp.startMs) / doublingMs);
    const accruedS = ((doublingMs / Math.LN2) * (grownTo - grownFrom)) / 1000;
    const maxCredit = Math.max(1, sharePerS * grownTo * burstS);
    ramp.credit = Math.min(maxCredit, ramp.credit + sharePerS * accruedS);
    ramp.creditAtMs = nowMs;
  }
}
