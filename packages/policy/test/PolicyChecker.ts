import { Outcome } from "@clementinemux/common/Outcome";
import { AttemptEndKind } from "@clementinemux/policy/AttemptEndKind";
import type { PolicyAction } from "@clementinemux/policy/PolicyAction";
import { PolicyActionKind } from "@clementinemux/policy/PolicyActionKind";
import type { PolicyRequest } from "@clementinemux/policy/PolicyRequest";

interface Seen {
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

/** Follows the actions of a policy on its own books and collects violated rules. */
export class PolicyChecker {
  readonly violations: string[] = [];
  readonly attempts = new Map<string, Seen>();
  readonly requests = new Map<string, Seen>();
  accepting: ReadonlySet<string> = new Set();

  addRequest(request: PolicyRequest): void {
    const seen = { request, live: new Set<string>(), mayHaveRun: false, dispatchCount: 0, isOver: false };
    this.requests.set(request.requestId, seen);
  }

  addEnd(attemptId: string, end: AttemptEndKind): void {
    const seen = this.attempts.get(attemptId);
    this.attempts.delete(attemptId);
    seen?.live.delete(attemptId);
    if (seen !== undefined) {
      seen.mayHaveRun ||= !provedNotRun.includes(end);
      seen.isOver ||= end === AttemptEndKind.Completed || end === AttemptEndKind.Cancelled;
    }
  }

  addCallerGone(requestId: string): void {
    const seen = this.requests.get(requestId);
    if (seen !== undefined) {
      seen.isOver = true;
    }
  }

  /** Requests that got neither their answer nor a refusal. */
  countOpen(): number {
    return [...this.requests.values()].filter(({ isOver }) => !isOver).length;
  }

  take(actions: readonly PolicyAction[], nowMs: number): void {
    for (const action of actions) {
      const seen = this.requests.get(action.requestId);
      if (seen === undefined) {
        this.violations.push(`unknown request ${action.requestId}`);
      } else if (action.kind === PolicyActionKind.Dispatch) {
        this.#takeDispatch(seen, action, nowMs);
      } else if (action.kind === PolicyActionKind.CancelAttempt) {
        this.#check(seen.live.delete(action.attemptId), "cancels an attempt that is not live");
        this.#check(seen.request.repeatable, "cancels a non-repeatable request");
        this.attempts.delete(action.attemptId);
        seen.mayHaveRun = true;
      } else {
        this.#check(!seen.isOver, "refuses a request that is over");
        const isProved = !seen.mayHaveRun && seen.live.size === 0;
        this.#check(action.outcome !== Outcome.NotRun || isProved, "says not_run without proof");
        this.#check(action.retryAfterMs > 0 && action.retryAfterMs < 200_000, "retryAfterMs out of range");
        seen.isOver = true;
      }
    }
  }

  #takeDispatch(
    seen: Seen,
    action: Extract<PolicyAction, { kind: PolicyActionKind.Dispatch }>,
    nowMs: number,
  ): void {
    this.#check(!seen.isOver, "dispatches a request that is over");
    this.#check(seen.request.repeatable || !seen.mayHaveRun, "dispatches a non-repeatable request again");
    this.#check(seen.request.repeatable || seen.live.size === 0, "runs a non-repeatable request twice");
    this.#check(this.accepting.has(action.target), "dispatches to a target that takes no work");
    this.#check(nowMs < seen.request.deadlineAtMs, "dispatches past the deadline");
    this.#check(seen.live.size < 2, "more than two attempts at once");
    seen.dispatchCount += 1;
    seen.live.add(action.attemptId);
    this.attempts.set(action.attemptId, seen);
  }

  #check(holds: boolean, rule: string): void {
    if (!holds) {
      this.violations.push(rule);
    }
  }
}
