import { Outcome } from "@clementinemux/common/Outcome";
import { RetryReason } from "@clementinemux/common/RetryReason";
import { AttemptEndKind } from "@clementinemux/policy/AttemptEndKind";
import type { PolicyAction } from "@clementinemux/policy/PolicyAction";
import { PolicyActionKind } from "@clementinemux/policy/PolicyActionKind";
import type { TargetView } from "@clementinemux/policy/TargetView";
import type { createPolicy } from "@clementinemux/policy/createPolicy";
import type { EventQueue } from "./EventQueue";
import type { ModelEngine } from "./ModelEngine";
import type { RequestRecord } from "./RequestRecord";
import { engineModel } from "./engineModel";

type DispatchAction = Extract<PolicyAction, { kind: PolicyActionKind.Dispatch }>;

interface ModelEntryOptions {
  readonly events: EventQueue;
  readonly policy: ReturnType<typeof createPolicy>;
  readonly engines: ReadonlyMap<string, ModelEngine>;
  readonly getLatencyMs: (target: string) => number;
  readonly firstTokenTimeoutMs: number;
  readonly onRefused: (record: RequestRecord, retryAfterMs: number) => void;
}

const ends = {
  completed: AttemptEndKind.Completed,
  overloaded: AttemptEndKind.TargetOverloaded,
  error: AttemptEndKind.TargetError,
} as const;

/** Model of an entry: executes the actions of its policy and checks the delivered tokens. */
export class ModelEntry {
  readonly #options: ModelEntryOptions;
  readonly #records = new Map<string, RequestRecord>();
  readonly #activeAttempts = new Map<string, { readonly target: string; position: number }>();

  constructor(options: ModelEntryOptions) {
    this.#options = options;
  }

  submit(record: RequestRecord): void {
    this.#records.set(record.request.requestId, record);
    this.#run(this.#options.policy.submit(record.request, this.#options.events.nowMs));
  }

  tick(): void {
    this.#run(this.#options.policy.onTick(this.#options.events.nowMs));
  }

  applyTargets(views: readonly TargetView[]): void {
    this.#run(this.#options.policy.applyTargets(views, this.#options.events.nowMs));
  }

  onCacheEvent(
    target: string,
    sequence: number,
    stored: readonly number[],
    evicted: readonly number[],
  ): void {
    this.#options.policy.onCacheEvent(target, sequence, stored, evicted);
  }

  #run(actions: readonly PolicyAction[]): void {
    for (const action of actions) {
      if (action.kind === PolicyActionKind.Dispatch) {
        this.#dispatch(action);
      } else if (action.kind === PolicyActionKind.CancelAttempt) {
        this.#cancel(action.attemptId);
      } else {
        const record = this.#getRecord(action.requestId);
        record.refusedOutcome = action.outcome;
        record.refusedAtMs = this.#options.events.nowMs;
        this.#options.onRefused(record, action.retryAfterMs);
      }
    }
  }

  #dispatch({ requestId, attemptId, target, enginePriority, resume, retryReason }: DispatchAction): void {
    const { events, engines, getLatencyMs, firstTokenTimeoutMs } = this.#options;
    const record = this.#getRecord(requestId);
    const firstPosition = resume ? record.deliveredCount : 0;
    // A retry that starts from the first token would deliver the caller's tokens twice.
    record.isIncorrect ||= firstPosition !== record.deliveredCount && retryReason !== RetryReason.Hedge;
    record.attemptCount += 1;
    this.#activeAttempts.set(attemptId, { target, position: firstPosition });
    events.schedule(getLatencyMs(target), () => {
      if (!this.#activeAttempts.has(attemptId)) {
        return;
      }
      engines.get(target)?.submit({
        attemptId,
        priority: enginePriority,
        promptTokenCount: record.request.promptTokenCount,
        prefixHashes: record.request.prefixHashes,
        firstPosition,
        outputTokenCount: record.outputTokenCount,
        onAdmitted: (cachedBlockCount) => {
          record.hasRun = true;
          record.firstPrefillCount ??=
            record.request.promptTokenCount - cachedBlockCount * engineModel.blockTokens;
          this.#options.policy.onCachedBlockCount(attemptId, cachedBlockCount);
        },
        onPosition: (position) => {
          this.#onPosition(record, attemptId, position, firstPosition);
        },
        onEnd: (end) => {
          this.#onEnd(record, attemptId, ends[end]);
        },
      });
    });
    events.schedule(firstTokenTimeoutMs, () => {
      if (this.#activeAttempts.get(attemptId)?.position === firstPosition) {
        this.#cancel(attemptId);
        this.#onEnd(record, attemptId, AttemptEndKind.FirstTokenTimeout);
      }
    });
  }

  #onPosition(record: RequestRecord, attemptId: string, position: number, firstPosition: number): void {
    const live = this.#activeAttempts.get(attemptId);
    if (live === undefined) {
      return;
    }
    const { events, policy } = this.#options;
    live.position = position;
    // Any position but the next one is a lost or duplicate token at the caller.
    record.isIncorrect ||= position !== record.deliveredCount + 1;
    record.deliveredCount = position;
    record.firstTokenAtMs ??= events.nowMs;
    this.#run(policy.onTokens(attemptId, position - firstPosition, events.nowMs));
  }

  #onEnd(record: RequestRecord, attemptId: string, end: AttemptEndKind): void {
    const { events, policy } = this.#options;
    const isLive = this.#activeAttempts.delete(attemptId);
    if (!isLive && end !== AttemptEndKind.FirstTokenTimeout) {
      return;
    }
    if (end === AttemptEndKind.Completed) {
      record.completedAtMs = events.nowMs;
    }
    this.#run(policy.onAttemptEnded(attemptId, end, events.nowMs));
    const completedAfterNotRun = record.refusedOutcome === Outcome.NotRun && record.completedAtMs !== null;
    record.isIncorrect ||= completedAfterNotRun;
  }

  #cancel(attemptId: string): void {
    const { events, engines, getLatencyMs } = this.#options;
    const live = this.#activeAttempts.get(attemptId);
    if (live === undefined) {
      return;
    }
    this.#activeAttempts.delete(attemptId);
    events.schedule(getLatencyMs(live.target), () => {
      engines.get(live.target)?.cancel(attemptId);
    });
  }

  #getRecord(requestId: string): RequestRecord {
    const record = this.#records.get(requestId);
    if (record === undefined) {
      throw new Error(`action for unknown request ${requestId}`);
    }
    return record;
  }
}
