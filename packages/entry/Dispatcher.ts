import { setImmediate } from "node:timers/promises";
import type { Clock } from "@clementinemux/common/Clock";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import { AttemptEndKind } from "@clementinemux/policy/AttemptEndKind";
import type { Policy } from "@clementinemux/policy/Policy";
import type { PolicyAction } from "@clementinemux/policy/PolicyAction";
import { PolicyActionKind } from "@clementinemux/policy/PolicyActionKind";
import type { TargetView } from "@clementinemux/policy/TargetView";
import type { Session } from "./Session";
import { StallGuard } from "./StallGuard";

/** Connects the policy and the sessions: passes events to the policy and executes its actions in order. */
export class Dispatcher {
  readonly #policy: Policy;
  readonly #clock: Clock;
  readonly #sessions = new Map<string, Session>();
  readonly #actions: PolicyAction[] = [];
  readonly #stallGuard = new StallGuard();
  #running = false;

  constructor(policy: Policy, clock: Clock) {
    this.#policy = policy;
    this.#clock = clock;
  }

  get sessionCount(): number {
    return this.#sessions.size;
  }

  get sessions(): Iterable<Session> {
    return this.#sessions.values();
  }

  submit(session: Session): void {
    this.#sessions.set(session.request.requestId, session);
    this.#run(this.#policy.submit(session.request, this.#clock.monotonicMs()));
  }

  /** Removes an ended session. Its pending actions are dropped. */
  remove(requestId: string): void {
    this.#sessions.delete(requestId);
  }

  onTokens(attemptId: string, tokenCount: number): void {
    this.#run(this.#policy.onTokens(attemptId, tokenCount, this.#clock.monotonicMs()));
  }

  /** Reports how many prompt blocks the engine had cached. Must precede the report of the attempt's end. */
  onCachedBlockCount(attemptId: string, cachedBlockCount: number): void {
    this.#policy.onCachedBlockCount(attemptId, cachedBlockCount);
  }

  onAttemptEnded(attemptId: string, end: AttemptEndKind): void {
    this.#run(this.#policy.onAttemptEnded(attemptId, end, this.#clock.monotonicMs()));
  }

  onCallerGone(requestId: string): void {
    this.#run(this.#policy.onCallerGone(requestId, this.#clock.monotonicMs()));
  }

  applyConfig(config: FleetConfig): void {
    this.#run(this.#policy.applyConfig(config, this.#clock.monotonicMs()));
  }

  applyTargets(targets: readonly TargetView[]): void {
    this.#run(this.#policy.applyTargets(targets, this.#clock.monotonicMs()));
  }

  /** Checks timeouts once the sockets have been read, so that a stall of this process isn't taken for a silent target. */
  async tick(config: FleetConfig): Promise<void> {
    const nowMs = this.#clock.monotonicMs();
    this.#run(this.#policy.onTick(nowMs));
    if (!this.#stallGuard.tick(nowMs)) {
      return;
    }
    // Immediates run after the sockets were read.
    await setImmediate();
    for (const session of [...this.#sessions.values()]) {
      session.tick(nowMs, config.defaults);
    }
  }

  /** An action can cause events that yield further actions. These run after it, not nested within it. */
  #run(actions: readonly PolicyAction[]): void {
    if (actions.length > 0) {
      this.#actions.push(...actions);
    }
    if (this.#running) {
      return;
    }
    this.#running = true;
    try {
      for (let action = this.#actions.shift(); action !== undefined; action = this.#actions.shift()) {
        this.#execute(action);
      }
    } finally {
      this.#running = false;
    }
  }

  #execute(action: PolicyAction): void {
    const session = this.#sessions.get(action.requestId);
    if (session === undefined) {
      if (action.kind !== PolicyActionKind.Refuse) {
        // The session ended while the action was queued. The policy must not count the attempt as running.
        this.onAttemptEnded(action.attemptId, AttemptEndKind.Cancelled);
      }
      return;
    }
    if (action.kind === PolicyActionKind.Dispatch) {
      session.dispatch(action);
    } else if (action.kind === PolicyActionKind.Refuse) {
      session.refuse(action);
    } else {
      session.cancelAttempt(action.attemptId, action.reason);
    }
  }
}
