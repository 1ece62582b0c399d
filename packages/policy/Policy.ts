import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { AttemptEndKind } from "./AttemptEndKind";
import type { ExplainRecord } from "./ExplainRecord";
import type { PolicyAction } from "./PolicyAction";
import type { PolicyRequest } from "./PolicyRequest";
import type { TargetView } from "./TargetView";
import type { TeamLimits } from "./admission/TeamLimits";

/**
 * Decisions of an entry about its requests: admission, order, target, retry, hedge, preemption. Has no I/O:
 * the caller passes the current monotonic time in milliseconds and carries out the returned actions.
 */
export interface Policy {
  /** Team limits that leased shares are applied to; absent from a policy without limits. */
  readonly limits?: TeamLimits;
  applyConfig(config: FleetConfig, nowMs: number): readonly PolicyAction[];
  applyTargets(targets: readonly TargetView[], nowMs: number): readonly PolicyAction[];
  submit(request: PolicyRequest, nowMs: number): readonly PolicyAction[];
  /** Reports the total number of tokens that the entry has received for an attempt. */
  onTokens(attemptId: string, tokenCount: number, nowMs: number): readonly PolicyAction[];
  onAttemptEnded(attemptId: string, end: AttemptEndKind, nowMs: number): readonly PolicyAction[];
  onCallerGone(requestId: string, nowMs: number): readonly PolicyAction[];
  /** Applies a cache event of a target: hashes of the prompt blocks that it has stored and evicted. */
  onCacheEvent(target: string, sequence: number, stored: readonly number[], evicted: readonly number[]): void;
  /** Applies the number of leading prompt blocks that the response of an attempt reports as cached. */
  onCachedBlockCount(attemptId: string, cachedBlockCount: number): void;
  /** Number of entries among which the unleased part of a team's limit is divided. */
  setLiveEntryCount(count: number): void;
  /** Decisions about a recent request, oldest first. */
  explain(requestId: string): readonly ExplainRecord[];
  /** Must be called at least every 50 ms. */
  onTick(nowMs: number): readonly PolicyAction[];
}
