/** Rejections in a row before the group counts as recovering; a single one may be the fault of one rank. */
const minRejections = 2;
/** Time between two probe requests to a recovering group. */
const probeIntervalMs = 100;

/**
 * Detects that the ranks of a service reject requests because their groups are recovering. One request of
 * this gateway at a time then probes whether the recovery has finished; the others wait for the result
 * instead of being rejected as well. This covers the load after a power loss or the crash of a rank. Takes
 * the current time as a parameter.
 */
export class GroupRecovery {
  #rejections = 0;
  #nextProbeAtMs = -Infinity;

  get isRecovering(): boolean {
    return this.#rejections >= minRejections;
  }

  /** A rank has rejected a request. */
  noteRejected(nowMs: number): void {
    this.#rejections += 1;
    this.#nextProbeAtMs = nowMs + probeIntervalMs;
  }

  /** A rank has started a response. */
  noteAccepted(): void {
    this.#rejections = 0;
  }

  /** Time until the next probe is due, in ms; infinite while the service is not recovering. */
  getProbeInMs(nowMs: number): number {
    return this.isRecovering ? Math.max(0, this.#nextProbeAtMs - nowMs) : Infinity;
  }

  /** Takes the next probe if one is due; always true while the service is not recovering. */
  takeProbe(nowMs: number): boolean {
    if (!this.isRecovering) {
      return true;
    }
    if (nowMs < this.#nextProbeAtMs) {
      return false;
    }
    this.#nextProbeAtMs = nowMs + probeIntervalMs;
    return true;
  }
}
