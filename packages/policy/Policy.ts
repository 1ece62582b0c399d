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
  /** Number of entries that divide the part of a team's limit that is not leased. */
  setLiveEntryCount(count: number): void;
  /** Decisions about a recent request, oldest first. */
  explain(requestId: string): readonly ExplainRecord[];
  /** Called at least every 50 ms. */
  onTick(nowMs: number): readonly PolicyAction[];
}
