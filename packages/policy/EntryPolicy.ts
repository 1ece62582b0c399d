import { Outcome } from "@clementinemux/common/Outcome";
import { RefusalReason } from "@clementinemux/common/RefusalReason";
import { TargetKind } from "@clementinemux/common/TargetKind";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import { AttemptEndKind } from "./AttemptEndKind";
import type { Policy } from "./Policy";
import type { PolicyAction } from "./PolicyAction";
import { PolicyActionKind } from "./PolicyActionKind";
import type { PolicyOptions } from "./PolicyOptions";
import type { PolicyRequest } from "./PolicyRequest";
import type { TargetView } from "./TargetView";

interface Attempt {
  readonly request: PolicyRequest;
  readonly attemptId: string;
  readonly target: string;
}

/** Policy of one entry: the least-loaded target takes the request; nothing is queued or retried. */
export class EntryPolicy implements Policy {
  readonly #entryId: string;
  #config: FleetConfig;
  #targets: readonly TargetView[] = [];
  readonly #attempts = new Map<string, Attempt>();
  #attemptNumber = 0;

  constructor(options: PolicyOptions) {
    this.#entryId = options.entryId;
    this.#config = options.config;
  }

  applyConfig(config: FleetConfig): readonly PolicyAction[] {
    this.#config = config;
    return [];
  }

  applyTargets(targets: readonly TargetView[]): readonly PolicyAction[] {
    this.#targets = targets;
    return [];
  }

  submit(request: PolicyRequest): readonly PolicyAction[] {
    const target = this.#findTarget(request);
    if (target === undefined) {
      return [this.#refuse(request, RefusalReason.NoTarget, Outcome.NotRun)];
    }
    this.#attemptNumber += 1;
    const attemptId = `${this.#entryId}-${this.#attemptNumber}`;
    this.#attempts.set(attemptId, { request, attemptId, target });
    return [
      {
        kind: PolicyActionKind.Dispatch,
        requestId: request.requestId,
        attemptId,
        target,
        enginePriority: this.#config.defaults.classes[request.requestClass].enginePriority,
        retryReason: null,
        resume: false,
      },
    ];
  }

  onTokens(): readonly PolicyAction[] {
    return [];
  }

  onAttemptEnded(attemptId: string, end: AttemptEndKind): readonly PolicyAction[] {
    const attempt = this.#attempts.get(attemptId);
    this.#attempts.delete(attemptId);
    if (attempt === undefined || end === AttemptEndKind.Completed || end === AttemptEndKind.Cancelled) {
      return [];
    }
    return [this.#refuse(attempt.request, RefusalReason.TargetsFailed, Outcome.Unknown)];
  }

  onCallerGone(requestId: string): readonly PolicyAction[] {
    const attempt = [...this.#attempts.values()].find(({ request }) => request.requestId === requestId);
    if (attempt?.request.repeatable !== true) {
      return [];
    }
    this.#attempts.delete(attempt.attemptId);
    const { CancelAttempt } = PolicyActionKind;
    return [
      { kind: CancelAttempt, requestId, attemptId: attempt.attemptId, reason: RefusalReason.CallerGone },
    ];
  }

  onTick(): readonly PolicyAction[] {
    return [];
  }

  #findTarget(request: PolicyRequest): string | undefined {
    const inFlight = new Map<string, number>();
    for (const { target } of this.#attempts.values()) {
      inFlight.set(target, (inFlight.get(target) ?? 0) + 1);
    }
    return this.#targets
      .filter((view) => view.accepting && isServedBy(request, view))
      .map((view) => view.announcement.target)
      .sort((left, right) => (inFlight.get(left) ?? 0) - (inFlight.get(right) ?? 0))[0];
  }

  #refuse(request: PolicyRequest, reason: RefusalReason, outcome: Outcome): PolicyAction {
    return {
      kind: PolicyActionKind.Refuse,
      requestId: request.requestId,
      reason,
      outcome,
      retryAfterMs: 1000,
    };
  }
}

function isServedBy(request: PolicyRequest, { announcement }: TargetView): boolean {
  return request.kind === TargetKind.Engine
    ? announcement.models.includes(request.model)
    : announcement.service === request.model;
}
