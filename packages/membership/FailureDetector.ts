import type { FleetCounts } from "./FleetCounts";
import { MassSuspicionDetector } from "./MassSuspicionDetector";
import type { ProbeResult } from "./ProbeResult";
import type { FailureDetectorAction } from "./FailureDetectorAction";
import { FailureDetectorActionKind } from "./FailureDetectorActionKind";
import { FailureDetectorEvent } from "./FailureDetectorEvent";
import type { FailureDetectorSettings } from "./FailureDetectorSettings";
import type { WatchedTarget } from "./WatchedTarget";

const requiredObserverCount = 2;

/**
 * Failure detector: decides which of the watched targets have failed. Performs no I/O: the caller reports
 * heartbeats and probe results, calls `tick`, and carries out the returned actions. All times are monotonic
 * milliseconds of this process.
 */
export class FailureDetector {
  readonly #settings: FailureDetectorSettings;
  readonly #countEvent: (reason: FailureDetectorEvent) => void;
  readonly #watched = new Map<string, WatchedTarget>();
  readonly #removals = new Map<string, number[]>();
  readonly #massSuspicion: MassSuspicionDetector;
  #evaluateFromMs = 0;
  #stallEndedAtMs = -Infinity;

  constructor(
    settings: FailureDetectorSettings,
    count: (reason: FailureDetectorEvent) => void = () => undefined,
  ) {
    this.#settings = settings;
    this.#countEvent = count;
    this.#massSuspicion = new MassSuspicionDetector(settings);
  }

  get watchedCount(): number {
    return this.#watched.size;
  }

  /** Whether the target has contacted this relay and is not suspect. */
  isAlive(target: string): boolean {
    return this.#watched.get(target)?.hasOwnContact === true && !this.isSuspect(target);
  }

  isSuspect(target: string): boolean {
    return (this.#watched.get(target)?.suspectSinceMs ?? null) !== null;
  }

  /**
   * Records contact from a target, and starts to watch it if it is new. Returns an action that lowers the
   * weight of a flapping target.
   */
  recordContact(
    target: string,
    incarnation: string,
    failureDomain: string,
    nowMs: number,
  ): FailureDetectorAction[] {
    const known = this.#watched.get(target);
    if (known?.incarnation === incarnation) {
      known.lastContactMs = nowMs;
      known.hasOwnContact = true;
      known.successfulProbeCount = 0;
      this.#clearSuspicion(known);
      return [];
    }
    const watched = this.#watch(target, incarnation, failureDomain, nowMs);
    watched.hasOwnContact = true;
    if (!this.#isFlapping(target, nowMs)) {
      return [];
    }
    this.#countEvent(FailureDetectorEvent.Flapping);
    return this.#lowerWeight(watched, nowMs);
  }

  /**
   * Starts to watch a target that no relay watches. It is removed unless it sends a heartbeat or is reached.
   */
  adopt(target: string, incarnation: string, failureDomain: string, nowMs: number): void {
    if (this.#watched.get(target)?.incarnation !== incarnation) {
      this.#watch(target, incarnation, failureDomain, nowMs);
    }
  }

  forget(target: string): void {
    this.#watched.delete(target);
  }

  /** Evaluates all targets. `dueMs` is the time for which this tick was scheduled. */
  tick(nowMs: number, dueMs: number, counts: FleetCounts): FailureDetectorAction[] {
    if (nowMs - dueMs > this.#settings.stallToleranceMs) {
      this.#onOwnStall(nowMs);
      return [];
    }
    if (nowMs < this.#evaluateFromMs) {
      return [];
    }
    for (const watched of this.#watched.values()) {
      this.#suspectIfSilent(watched, nowMs);
    }
    this.#massSuspicion.update([...this.#watched.values()], counts, nowMs);
    return [...this.#watched.values()].flatMap((watched) => this.#evaluate(watched, nowMs));
  }

  /** Handles the result of a probe by this relay or by a peer. */
  onProbeResult(result: ProbeResult, nowMs: number): FailureDetectorAction[] {
    const watched = this.#watched.get(result.target);
    if (watched?.incarnation !== result.incarnation || watched.suspectSinceMs === null) {
      return [];
    }
    if (result.reached) {
      this.#countEvent(FailureDetectorEvent.SilentConnection);
      watched.lastContactMs = nowMs;
      watched.successfulProbeCount += 1;
      this.#clearSuspicion(watched);
      return [];
    }
    if (result.startedAtMs < this.#stallEndedAtMs || nowMs < this.#evaluateFromMs) {
      // The attempt may have failed because this process was stalled.
      return [];
    }
    this.#countEvent(FailureDetectorEvent.Unreachable);
    watched.failedDomains.add(result.observerDomain);
    return this.#confirmOrRemove(watched, nowMs);
  }

  #watch(target: string, incarnation: string, failureDomain: string, nowMs: number): WatchedTarget {
    const watched: WatchedTarget = {
      target,
      incarnation,
      failureDomain,
      lastContactMs: nowMs,
      hasOwnContact: false,
      suspectSinceMs: null,
      failedDomains: new Set(),
      nextProbeAtMs: 0,
      successfulProbeCount: 0,
      isWeightLowered: false,
      lastSuspectMs: nowMs,
    };
    this.#watched.set(target, watched);
    return watched;
  }

  #onOwnStall(nowMs: number): void {
    this.#countEvent(FailureDetectorEvent.OwnStall);
    this.#evaluateFromMs = nowMs + this.#settings.stallGraceMs;
    this.#stallEndedAtMs = nowMs;
    for (const watched of this.#watched.values()) {
      // Heartbeats sent during the stall may still be in the socket buffers.
      watched.lastContactMs = nowMs;
      this.#clearSuspicion(watched);
    }
  }

  #suspectIfSilent(watched: WatchedTarget, nowMs: number): void {
    if (watched.suspectSinceMs !== null) {
      watched.lastSuspectMs = nowMs;
      return;
    }
    const allowedMs = Math.min(
      this.#settings.suspectAfterMs * 2 ** watched.successfulProbeCount,
      this.#settings.maxProbeIntervalMs,
    );
    if (nowMs - watched.lastContactMs > allowedMs) {
      this.#countEvent(FailureDetectorEvent.HeartbeatMissed);
      watched.suspectSinceMs = nowMs;
      watched.lastSuspectMs = nowMs;
      watched.nextProbeAtMs = nowMs;
    }
  }

  #evaluate(watched: WatchedTarget, nowMs: number): FailureDetectorAction[] {
    if (watched.suspectSinceMs === null) {
      return watched.isWeightLowered && nowMs - watched.lastSuspectMs >= this.#settings.stableAfterMs
        ? this.#restoreWeight(watched)
        : [];
    }
    if (this.#isConfirmed(watched) && nowMs >= this.#getConfirmAtMs(watched)) {
      watched.nextProbeAtMs = Math.max(watched.nextProbeAtMs, nowMs + this.#settings.probeIntervalMs);
      const decided = this.#confirmOrRemove(watched, nowMs);
      watched.failedDomains.clear();
      return decided;
    }
    const actions = this.#massSuspicion.isActive(watched.failureDomain)
      ? this.#lowerWeight(watched, nowMs)
      : [];
    if (nowMs >= watched.nextProbeAtMs) {
      watched.nextProbeAtMs = nowMs + this.#settings.probeIntervalMs;
      // Earlier results do not count in a new round: a domain that failed to reach the target may reach it
      // now.
      if (watched.failedDomains.size > 0) {
        this.#countEvent(FailureDetectorEvent.Unconfirmed);
        actions.push(...this.#lowerWeight(watched, nowMs));
        watched.failedDomains.clear();
      }
      actions.push(createAction(FailureDetectorActionKind.Probe, watched));
    }
    return actions;
  }

  #confirmOrRemove(watched: WatchedTarget, nowMs: number): FailureDetectorAction[] {
    if (!this.#isConfirmed(watched)) {
      const excluded = this.#massSuspicion.isActive(watched.failureDomain) ? [watched.failureDomain] : [];
      const excludedDomains = [
        ...new Set([this.#settings.failureDomain, ...watched.failedDomains, ...excluded]),
      ];
      return [{ ...createAction(FailureDetectorActionKind.RequestPeerProbe, watched), excludedDomains }];
    }
    const confirmAtMs = this.#getConfirmAtMs(watched);
    if (nowMs < confirmAtMs) {
      watched.nextProbeAtMs = confirmAtMs + this.#settings.probeIntervalMs;
      return [];
    }
    const { failureDomain } = watched;
    if (
      this.#massSuspicion.isActive(failureDomain) &&
      !this.#massSuspicion.isRemovalAllowed(failureDomain, nowMs)
    ) {
      this.#countEvent(FailureDetectorEvent.MassSuspicion);
      return this.#lowerWeight(watched, nowMs);
    }
    this.#countEvent(FailureDetectorEvent.Removed);
    this.#watched.delete(watched.target);
    this.#massSuspicion.recordRemoval(watched.target, failureDomain, nowMs);
    this.#removals.set(watched.target, [...this.#recentRemovals(watched.target, nowMs), nowMs]);
    return [createAction(FailureDetectorActionKind.Remove, watched)];
  }

  /** Under a mass suspicion, observers within the target's own failure domain do not count. */
  #isConfirmed(watched: WatchedTarget): boolean {
    const isMass = this.#massSuspicion.isActive(watched.failureDomain);
    const inside = isMass && watched.failedDomains.has(watched.failureDomain) ? 1 : 0;
    return watched.failedDomains.size - inside >= requiredObserverCount;
  }

  #getConfirmAtMs(watched: WatchedTarget): number {
    return (watched.suspectSinceMs ?? 0) + this.#settings.confirmAfterMs;
  }

  #lowerWeight(watched: WatchedTarget, nowMs: number): FailureDetectorAction[] {
    watched.lastSuspectMs = nowMs;
    if (watched.isWeightLowered) {
      return [];
    }
    watched.isWeightLowered = true;
    return [createAction(FailureDetectorActionKind.LowerWeight, watched)];
  }

  #restoreWeight(watched: WatchedTarget): FailureDetectorAction[] {
    watched.isWeightLowered = false;
    return [createAction(FailureDetectorActionKind.RestoreWeight, watched)];
  }

  #clearSuspicion(watched: WatchedTarget): void {
    watched.suspectSinceMs = null;
    watched.failedDomains.clear();
  }

  #recentRemovals(target: string, nowMs: number): number[] {
    return (this.#removals.get(target) ?? []).filter((atMs) => nowMs - atMs < this.#settings.flapWindowMs);
  }

  #isFlapping(target: string, nowMs: number): boolean {
    const recent = this.#recentRemovals(target, nowMs);
    if (recent.length === 0) {
      this.#removals.delete(target);
    }
    return recent.length >= this.#settings.flapCount;
  }
}

function createAction(kind: FailureDetectorActionKind, watched: WatchedTarget): FailureDetectorAction {
  return { kind, target: watched.target, incarnation: watched.incarnation, excludedDomains: [] };
}
