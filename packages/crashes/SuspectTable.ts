import type { Random } from "@clementinemux/common/Random";
import type { Suspicion } from "./Suspicion";

interface Suspect {
  readonly suspicion: Suspicion;
  readonly sinceMs: number;
  /** Until when this process sends no request with the cause. */
  readonly untilMs: number;
  /** After that, when the next single request with it may be sent. */
  nextProbeAtMs: number;
}

/** The gateways end a suspicion one after the other, over its own duration. */
const spreadShare = 1;
/** Time from a probe to the next: a crash that it causes is known by then. */
const probeIntervalMs = 3000;
/** After its end at this gateway, a suspicion is dropped unless it is renewed. */
const retentionMs = 15_000;
const maxSuspects = 256;

/**
 * Prompt parts and requests that this process does not send to targets, since they are suspected of crashing them. Pure: the
 * caller passes the current time.
 */
export class SuspectTable {
  readonly #random: Random;
  readonly #suspects = new Map<string, Suspect>();

  constructor(random: Random) {
    this.#random = random;
  }

  /** Takes over what a coordinator suspects. One that has restarted may know less, so only lifted suspicions end. */
  update(suspicions: readonly Suspicion[], nowMs: number): void {
    for (const suspicion of suspicions) {
      const { part, crashes, ageMs, leftMs, isLifted } = suspicion;
      const known = this.#suspects.get(part);
      if (isLifted) {
        if (known !== undefined && known.suspicion.crashes <= crashes) {
          this.#suspects.delete(part);
        }
      } else if (
        known === undefined ? this.#suspects.size < maxSuspects : crashes > known.suspicion.crashes
      ) {
        const untilMs = nowMs + leftMs + this.#random() * spreadShare * (ageMs + leftMs);
        this.#suspects.set(part, { suspicion, sinceMs: nowMs - ageMs, untilMs, nextProbeAtMs: untilMs });
      }
    }
    for (const [part, { untilMs }] of this.#suspects) {
      if (nowMs - untilMs > retentionMs) {
        this.#suspects.delete(part);
      }
    }
  }

  /** Time until a request with these causes may be sent, in ms; 0 if it may be sent now. */
  getWaitMs(causes: readonly string[], nowMs: number): number {
    return Math.max(0, ...causes.map((cause) => (this.#suspects.get(cause)?.nextProbeAtMs ?? nowMs) - nowMs));
  }

  /**
   * To be called when a request with these causes is sent: after the end of a suspicion, its cause is tried by one request
   * at a time.
   */
  noteSent(causes: readonly string[], nowMs: number): void {
    for (const cause of causes) {
      const suspect = this.#suspects.get(cause);
      if (suspect !== undefined && nowMs >= suspect.untilMs) {
        suspect.nextProbeAtMs = nowMs + probeIntervalMs;
      }
    }
  }

  /** The suspicions that are in force here, for coordinators that have lost them. */
  list(nowMs: number): Suspicion[] {
    return [...this.#suspects.values()]
      .filter(({ untilMs }) => untilMs > nowMs)
      .map(({ suspicion, sinceMs, untilMs }) => ({
        ...suspicion,
        ageMs: nowMs - sinceMs,
        leftMs: Math.min(untilMs - nowMs, suspicion.leftMs),
      }));
  }
}
