import { Outcome } from "@clementinemux/common/Outcome";
import { AttemptEndKind } from "@clementinemux/policy/AttemptEndKind";
import type { PolicyAction } from "@clementinemux/policy/PolicyAction";
import { PolicyActionKind } from "@clementinemux/policy/PolicyActionKind";
import type { PolicyRequest } from "@clementinemux/policy/PolicyRequest";

interface TrackedRequest {
  readonly request: PolicyRequest;
  readonly live: Set<string>;
  mayHaveRun: boolean;
  dispatchCount: number;
  isOver: boolean;
}

const provedNotRun = [
  AttemptEndKind.AgentRefused,
  AttemptEndKind.TargetOverloaded,
  AttemptEndKind.ConnectFailed,
];

/** Tracks the actions of a policy independently of it and collects violations of its invariants. */
export class PolicyChecker {
  readonly violations: string[] = [];
  readonly attempts = new Map<string, TrackedRequest>();
  readonly requests = new Map<string, TrackedRequest>();
  accepting: ReadonlySet<string> = new Set();

  addRequest(request: PolicyRequest): void {
    const tracked = { request, live: new Set<string>(), mayHaveRun: false, dispatchCount: 0, isOver: false };
    this.requests.set(request.requestId, tracked);
  }

  addEnd(attemptId: string, end: AttemptEndKind): void {
    const tracked = this.attempts.get(attemptId);
    this.attempts.delete(attemptId);
    tracked?.live.delete(attemptId);
    if (tracked !== undefined) {
      tracked.mayHaveRun ||= !provedNotRun.includes(end);
      tracked.isOver ||= end === AttemptEndKind.Completed || end === AttemptEndKind.Cancelled;
    }
  }

  addCallerGone(requestId: string): void {
    const tracked = this.requests.get(requestId);
    if (tracked !== undefined) {
      tracked.isOver = true;
    }
  }

  /** Number of requests that have received neither a response nor a refusal. */
  countUnfinished(): number {
    return [...this.requests.values()].filter(({ isOver }) => !isOver).length;
  }

  checkActions(actions: readonly PolicyAction[], nowMs: number): void {
    for (const action of actions) {
      const tracked = this.requests.get(action.requestId);
      if (tracked === undefined) {
        this.violations.push(`unknown request ${action.requestId}`);
      } else if (action.kind === PolicyActionKind.Dispatch) {
        this.#checkDispatch(tracked, action, nowMs);
      } else if (action.kind === PolicyActionKind.CancelAttempt) {
        this.#check(tracked.live.delete(action.attemptId), "cancels an attempt that is not in flight");
        this.#check(tracked.request.repeatable, "cancels a non-repeatable request");
        this.attempts.delete(action.attemptId);
        tracked.mayHaveRun = true;
      } else {
        this.#check(!tracked.isOver, "refuses a request that has ended");
        const isProved = !tracked.mayHaveRun && tracked.live.size === 0;
        this.#check(action.outcome !== Outcome.NotRun || isProved, "reports not_run without proof");
        this.#check(action.retryAfterMs > 0 && action.retryAfterMs < 200_000, "retryAfterMs out of range");
        tracked.isOver = true;
      }
    }
  }

  #checkDispatch(
    tracked: TrackedRequest,
    action: Extract<PolicyAction, { kind: PolicyActionKind.Dispatch }>,
    nowMs: number,
  ): void {
    this.#check(!tracked.isOver, "dispatches a request that has ended");
    this.#check(
      tracked.request.repeatable || !tracked.mayHaveRun,
      "dispatches a non-repeatable request again",
    );
    this.#check(tracked.request.repeatable || tracked.live.size === 0, "runs a non-repeatable request twice");
    this.#check(this.accepting.has(action.target), "dispatches to a target that does not accept work");
    this.#check(nowMs < tracked.request.deadlineAtMs, "dispatches after the deadline");
    this.#check(tracked.live.size < 2, "more than two attempts at once");
    tracked.dispatchCount += 1;
    tracked.live.add(action.attemptId);
    this.attempts.set(action.attemptId, tracked);
  }

  #check(holds: boolean, rule: string): void {
    if (!holds) {
      this.violations.push(rule);
    }
  }
}
