import { Outcome } from "@clementinemux/common/Outcome";
import { RefusalReason } from "@clementinemux/common/RefusalReason";
import { RetryReason } from "@clementinemux/common/RetryReason";
import { TargetKind } from "@clementinemux/common/TargetKind";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import { AttemptEndKind } from "@clementinemux/policy/AttemptEndKind";
import type { Policy } from "@clementinemux/policy/Policy";
import type { PolicyAction } from "@clementinemux/policy/PolicyAction";
import { PolicyActionKind } from "@clementinemux/policy/PolicyActionKind";
import type { PolicyRequest } from "@clementinemux/policy/PolicyRequest";
import type { TargetView } from "@clementinemux/policy/TargetView";

interface LiveRequest {
  readonly request: PolicyRequest;
  readonly tried: string[];
  attemptId: string;
  tokenCount: number;
}

const noTargetRetryMs = 1000;

const retryReasons: Readonly<Record<AttemptEndKind, RetryReason | null>> = {
  [AttemptEndKind.Completed]: null,
  [AttemptEndKind.AgentRefused]: RetryReason.AgentRefused,
  [AttemptEndKind.TargetOverloaded]: RetryReason.TargetOverloaded,
  [AttemptEndKind.ConnectFailed]: RetryReason.ConnectFailed,
  [AttemptEndKind.TargetError]: RetryReason.TargetError,
  [AttemptEndKind.FirstTokenTimeout]: RetryReason.FirstTokenTimeout,
  [AttemptEndKind.TokenGapTimeout]: RetryReason.TokenGapTimeout,
  [AttemptEndKind.StreamBroken]: RetryReason.StreamBroken,
  [AttemptEndKind.TargetLeaving]: RetryReason.TargetLeaving,
  [AttemptEndKind.Cancelled]: null,
};

const provedNotRun: ReadonlySet<AttemptEndKind> = new Set([
  AttemptEndKind.AgentRefused,
  AttemptEndKind.TargetOverloaded,
  AttemptEndKind.ConnectFailed,
]);

/**
 * Smallest policy that lets an entry work: no queue and no limits; the target with the fewest of this entry's
 * requests; retries on targets not yet tried. For tests, and for fleets of one machine.
 */
export class SimplePolicy implements Policy {
  #config: FleetConfig = createDefaultConfig();
  #targets: readonly TargetView[] = [];
  readonly #requests = new Map<string, LiveRequest>();
  readonly #byAttempt = new Map<string, LiveRequest>();
  readonly #inFlight = new Map<string, number>();

  applyConfig(config: FleetConfig): readonly PolicyAction[] {
    this.#config = config;
    return [];
  }

  applyTargets(targets: readonly TargetView[]): readonly PolicyAction[] {
    this.#targets = targets;
    return [];
  }

  submit(request: PolicyRequest): readonly PolicyAction[] {
    const live: LiveRequest = { request, tried: [], attemptId: "", tokenCount: 0 };
    this.#requests.set(request.requestId, live);
    return this.#dispatch(live, null, RefusalReason.NoTarget, Outcome.NotRun);
  }

  onTokens(attemptId: string, tokenCount: number): readonly PolicyAction[] {
    const live = this.#byAttempt.get(attemptId);
    if (live !== undefined) {
      live.tokenCount = tokenCount;
    }
    return [];
  }

  onAttemptEnded(attemptId: string, end: AttemptEndKind): readonly PolicyAction[] {
    const live = this.#byAttempt.get(attemptId);
    if (live === undefined) {
      return [];
    }
    this.#endAttempt(live);
    const reason = retryReasons[end];
    if (reason === null) {
      this.#requests.delete(live.request.requestId);
      return [];
    }
    const ranOutcome = end === AttemptEndKind.TargetError ? Outcome.RunFailed : Outcome.Unknown;
    const outcome = provedNotRun.has(end) ? Outcome.NotRun : ranOutcome;
    const mayRetry = live.request.repeatable || outcome === Outcome.NotRun;
    if (!mayRetry || live.tried.length >= this.#config.defaults.maxAttempts) {
      return this.#refuse(live, RefusalReason.TargetsFailed, outcome);
    }
    return this.#dispatch(live, reason, RefusalReason.TargetsFailed, outcome);
  }

  onCallerGone(requestId: string): readonly PolicyAction[] {
    const live = this.#requests.get(requestId);
    return live === undefined ? [] : this.#cancel(live, RefusalReason.CallerGone);
  }

  onTick(nowMs: number): readonly PolicyAction[] {
    return [...this.#requests.values()]
      .filter(({ request }) => nowMs >= request.deadlineAtMs)
      .flatMap((live) => {
        const outcome = live.attemptId === "" ? Outcome.NotRun : Outcome.Unknown;
        const cancel = this.#cancel(live, RefusalReason.DeadlinePassed);
        return [...cancel, ...this.#refuse(live, RefusalReason.DeadlinePassed, outcome)];
      });
  }

  #dispatch(
    live: LiveRequest,
    retryReason: RetryReason | null,
    refusal: RefusalReason,
    outcome: Outcome,
  ): readonly PolicyAction[] {
    const { request, tried } = live;
    const able = this.#targets.filter((view) => view.accepting && isServedBy(request, view));
    const fresh = able.filter(({ announcement }) => !tried.includes(announcement.target));
    const target = this.#pickLeastLoaded(fresh.length > 0 ? fresh : able);
    if (target === null) {
      return this.#refuse(live, refusal, outcome);
    }
    tried.push(target);
    live.attemptId = `${request.requestId}.${tried.length}`;
    this.#byAttempt.set(live.attemptId, live);
    this.#inFlight.set(target, (this.#inFlight.get(target) ?? 0) + 1);
    const { enginePriority } = this.#config.defaults.classes[request.requestClass];
    return [
      {
        kind: PolicyActionKind.Dispatch,
        requestId: request.requestId,
        attemptId: live.attemptId,
        target,
        enginePriority,
        retryReason,
        resume: live.tokenCount > 0,
      },
    ];
  }

  #pickLeastLoaded(views: readonly TargetView[]): string | null {
    let best: string | null = null;
    for (const { announcement } of views) {
      if (best === null || this.#getInFlight(announcement.target) < this.#getInFlight(best)) {
        best = announcement.target;
      }
    }
    return best;
  }

  #getInFlight(target: string): number {
    return this.#inFlight.get(target) ?? 0;
  }

  #refuse(live: LiveRequest, reason: RefusalReason, outcome: Outcome): readonly PolicyAction[] {
    const { requestId } = live.request;
    this.#requests.delete(requestId);
    return [{ kind: PolicyActionKind.Refuse, requestId, reason, outcome, retryAfterMs: noTargetRetryMs }];
  }

  #cancel(live: LiveRequest, reason: RefusalReason): readonly PolicyAction[] {
    const { requestId } = live.request;
    const { attemptId } = live;
    this.#requests.delete(requestId);
    this.#endAttempt(live);
    return attemptId === "" ? [] : [{ kind: PolicyActionKind.CancelAttempt, requestId, attemptId, reason }];
  }

  #endAttempt(live: LiveRequest): void {
    if (this.#byAttempt.delete(live.attemptId)) {
      const target = live.tried.at(-1) ?? "";
      this.#inFlight.set(target, this.#getInFlight(target) - 1);
    }
    live.attemptId = "";
  }
}

function isServedBy(request: PolicyRequest, { announcement }: TargetView): boolean {
  return request.kind === TargetKind.Service
    ? announcement.service === request.model
    : announcement.kind === TargetKind.Engine && announcement.models.includes(request.model);
}
