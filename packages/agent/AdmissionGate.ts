import type { RenewResponse } from "@clementinemux/messages/RenewResponse";
import { AgentRefusal } from "./AgentRefusal";
import { RecentAttempts } from "./RecentAttempts";
import type { ConfigView } from "./ConfigView";
import { checkStamp } from "./checkStamp";
import { formatStamp } from "./formatStamp";
import { parseStamp } from "./parseStamp";

interface Permit {
  readonly stamp: string;
  readonly attemptId: string;
}

/**
 * Decides whether the agent admits requests. Performs no I/O; all times are from the agent's monotonic clock.
 * A request is rejected before any of it is forwarded, so a refusal proves that the request was not run.
 */
export class AdmissionGate {
  readonly incarnation: string;
  readonly #view: ConfigView;
  readonly #attempts = new RecentAttempts();
  #leaseEndsAtMs = -Infinity;
  #superseded = false;
  #leaving = false;
  #targetFailed = false;

  constructor(incarnation: string, view: ConfigView) {
    this.incarnation = incarnation;
    this.#view = view;
  }

  createStamp(nowMs: number): string {
    return formatStamp({ incarnation: this.incarnation, issuedAtMs: nowMs });
  }

  /**
   * Applies a response to `renew`. The lease is extended only if the response is confirmed and its revision
   * has been applied; it starts when the renewal was sent. Returns whether the lease was extended.
   */
  onRenewed(response: RenewResponse, sentAtMs: number): boolean {
    const isCurrent = this.#view.apply(response);
    if (!response.confirmed || !isCurrent) {
      return false;
    }
    this.#leaseEndsAtMs = Math.max(this.#leaseEndsAtMs, sentAtMs + response.leaseMs);
    return true;
  }

  markSuperseded(): void {
    this.#superseded = true;
  }

  markLeaving(): void {
    this.#leaving = true;
  }

  setTargetFailed(failed: boolean): void {
    this.#targetFailed = failed;
  }

  /** Why the agent rejects all new requests; null when it accepts requests. */
  getClosedReason(nowMs: number): AgentRefusal | null {
    if (this.#superseded) {
      return AgentRefusal.Superseded;
    }
    if (this.#leaving) {
      return AgentRefusal.TargetLeaving;
    }
    if (nowMs >= this.#leaseEndsAtMs) {
      return AgentRefusal.LeaseExpired;
    }
    if (this.#view.config.drain !== null) {
      return AgentRefusal.TargetDrained;
    }
    return this.#targetFailed ? AgentRefusal.TargetUnreachable : null;
  }

  /** Returns why a request is rejected; null when it is admitted. An attempt id is admitted only once. */
  admit({ stamp, attemptId }: Permit, nowMs: number): AgentRefusal | null {
    const refusal =
      this.getClosedReason(nowMs) ??
      checkStamp(
        parseStamp(stamp).extractNullable(),
        this.incarnation,
        nowMs,
        this.#view.config.permitMaxAgeMs,
      ) ??
      this.#checkAttempt(attemptId, nowMs);
    if (refusal === null) {
      this.#attempts.add(attemptId, nowMs);
    }
    return refusal;
  }

  #checkAttempt(attemptId: string, nowMs: number): AgentRefusal | null {
    if (attemptId === "") {
      return AgentRefusal.AttemptMissing;
    }
    if (this.#attempts.has(attemptId)) {
      return AgentRefusal.AttemptRepeated;
    }
    return this.#attempts.isFull(nowMs) ? AgentRefusal.TooManyAttempts : null;
  }
}
