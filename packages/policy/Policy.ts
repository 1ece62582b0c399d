import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { AttemptEndKind } from "./AttemptEndKind";
import type { ExplainRecord } from "./ExplainRecord";
import type { PolicyAction } from "./PolicyAction";
import type { PolicyRequest } from "./PolicyRequest";
import type { TargetView } from "./TargetView";
import type { TeamLimits } from "./admission/TeamLimits";

/**
 * Decisions of an entry about its requests: admission, order, target, retry, hedge, preemption. Has no I/O
 * and no clock; every call names the monotonic time in milliseconds and returns the actions to carry out.
 */
export interface Policy {
  /** Team limits that take leased shares; absent from a policy without limits. */
  readonly limits?: TeamLimits;
  applyConfig(config: FleetConfig, nowMs: number): readonly PolicyAction[];
  applyTargets(targets: readonly TargetView[], nowMs: number): readonly PolicyAction[];
  submit(request: PolicyRequest, nowMs: number): readonly PolicyAction[];
  /** Tokens that have reached the entry for an attempt, in all. */
  onTokens(attemptId: string, tokenCount: number, nowMs: number): readonly PolicyAction[];
  onAttemptEnded(attemptId: string, end: AttemptEndKind, nowMs: number): readonly PolicyAction[];
  onCallerGone(requestId: string, nowMs: number): readonly PolicyAction[];
  /** Takes a cache event of a target: hashes of the prompt blocks that it has stored and evicted. */
  onCacheEvent(target: string, sequence: number, stored: readonly number[], evicted: readonly number[]): void;
  /** Takes the number of leading prompt blocks that the answer of an attempt reports as cached. */
  onPrefixAnswer(attemptId: string, cachedBlockCount: number): void;
  /** Number of entries that divide the part of a team's limit that is not leased. */
  setLiveEntryCount(count: number): void;
  /** Decisions about a recent request, oldest first. */
  explain(requestId: string): readonly ExplainRecord[];
  /** Called at least every 50 ms. */
  onTick(nowMs: number): readonly PolicyAction[];
}
