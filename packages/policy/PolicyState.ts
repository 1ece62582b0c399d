import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import { TargetKind } from "@clementinemux/common/TargetKind";
import type { Counters } from "@clementinemux/metrics/Counters";
import { AttemptEndKind } from "./AttemptEndKind";
import type { AttemptState } from "./AttemptState";
import { ExplainLog } from "./ExplainLog";
import { PolicyEvent } from "./PolicyEvent";
import type { PolicyOptions } from "./PolicyOptions";
import type { PolicyRequest } from "./PolicyRequest";
import { RequestState } from "./RequestState";
import { TargetTable } from "./TargetTable";
import { Admission } from "./admission/Admission";
import { FairQueue } from "./admission/FairQueue";
import { ServiceTimes } from "./admission/ServiceTimes";
import { TeamLimits } from "./admission/TeamLimits";
import { getTeamSettings } from "./getTeamSettings";
import { RetryBudget } from "./health/RetryBudget";
import { attemptEndTraits } from "./health/attemptEndTraits";
import { isStreamLate } from "./health/isStreamLate";
import type { Candidate } from "./routing/Candidate";
import { PrefixIndex } from "./routing/PrefixIndex";
import { Router } from "./routing/Router";
import { RoutingKind } from "./routing/RoutingKind";

interface FoundAttempt {
  readonly state: RequestState;
  readonly attempt: AttemptState;
}

interface UnreachableRequest {
  readonly state: RequestState;
  readonly waitMs: number;
}

const explainCapacity = 2000;
const maxPrefixBlocksPerTarget = 4096;

/**
 * Requests, attempts, queues and measurements of one entry. Updates them together so that they stay
 * consistent.
 */
export class PolicyState {
  readonly requests = new Map<string, RequestState>();
  readonly explainLog = new ExplainLog(explainCapacity);
  readonly prefixes = new PrefixIndex(maxPrefixBlocksPerTarget);
  readonly targets: TargetTable;
  readonly router: Router;
  readonly admission: Admission;
  readonly budget: RetryBudget;
  readonly #times = new ServiceTimes();
  readonly #attempts = new Map<string, FoundAttempt>();
  readonly #queues = new Map<string, FairQueue<RequestState>>();
  readonly #region: string;
  readonly #isBudgetEnabled: boolean;
  readonly #events: Counters<PolicyEvent>;
  #config: FleetConfig;

  constructor(options: PolicyOptions, events: Counters<PolicyEvent>) {
    this.#config = options.config;
    this.#region = options.region;
    this.#events = events;
    this.#isBudgetEnabled = options.retryBudgetEnabled !== false;
    this.targets = new TargetTable(this.prefixes, events);
    this.router = new Router({
      routing: options.routing ?? RoutingKind.Full,
      random: options.random,
      failureDomain: options.failureDomain,
      region: options.region,
      targets: this.targets,
      times: this.#times,
      prefixes: this.prefixes,
    });
    this.admission = new Admission(new TeamLimits(options.startedAtMs ?? 0), this.router, this.#times);
    this.budget = new RetryBudget(this.#getBudgetShare(), options.startedAtMs ?? 0);
  }

  get config(): FleetConfig {
    return this.#config;
  }

  setConfig(config: FleetConfig): void {
    this.#config = config;
    this.budget.setShare(this.#getBudgetShare());
  }

  createRequest(request: PolicyRequest): RequestState {
    const isEngine = request.kind === TargetKind.Engine;
    const settings = getTeamSettings(this.#config, {
      team: request.team,
      model: isEngine ? request.model : "",
      service: isEngine ? "" : request.model,
      region: this.#region,
    });
    const classDefaults = this.#config.defaults.classes[request.requestClass];
    const model = `${request.kind}:${request.model}`;
    const costMs = Math.max(1, this.#times.getServiceMs(model, request));
    const tokenCount =
      request.promptTokenCount + this.#times.getOutputTokenCount(model, request.maxTokenCount);
    return new RequestState(request, { ...settings, classDefaults }, model, costMs, tokenCount);
  }

  /** Requests that can be served by the same targets share a queue. */
  getQueue({ request, model }: RequestState): FairQueue<RequestState> {
    const key = `${model}:${request.adapter}`;
    let queue = this.#queues.get(key);
    if (queue === undefined) {
      queue = new FairQueue();
      this.#queues.set(key, queue);
    }
    return queue;
  }

  /** One queued request from each queue that is not empty. */
  getQueuedHeads(): readonly RequestState[] {
    return [...this.#queues.values()].flatMap((queue) => queue.getHeads().slice(0, 1));
  }

  /** Queued requests that can no longer complete before their deadline. */
  findUnreachable(nowMs: number): readonly UnreachableRequest[] {
    const unreachable: UnreachableRequest[] = [];
    for (const queue of this.#queues.values()) {
      const [head] = queue.getHeads();
      if (head === undefined) {
        continue;
      }
      queue.forEachWait(this.admission.getSlotCount(head), (state, waitMs) => {
        if (nowMs + waitMs + this.getConservativeRemainingMs(state) > state.request.deadlineAtMs) {
          unreachable.push({ state, waitMs });
        }
      });
    }
    return unreachable;
  }

  dropFromQueue(state: RequestState): void {
    if (state.isQueued) {
      state.isQueued = false;
      this.getQueue(state).remove(state);
    }
  }

  findAttempt(attemptId: string): FoundAttempt | null {
    return this.#attempts.get(attemptId) ?? null;
  }

  startAttempt(
    state: RequestState,
    attemptId: string,
    { target, firstTokenMs }: Candidate,
    nowMs: number,
  ): void {
    const { prefixHashes, promptTokenCount } = state.request;
    const cachedCount = this.prefixes.getExpectedBlockCount(target.name, prefixHashes);
    const attempt: AttemptState = {
      attemptId,
      target,
      sentAtMs: nowMs,
      predictedFirstTokenMs: firstTokenMs,
      predictedUncachedTokenCount: promptTokenCount * (1 - cachedCount / Math.max(1, prefixHashes.length)),
      isHedge: state.attempts.length > 0,
      firstTokenAtMs: null,
      tokenCount: 0,
    };
    state.isQueued = false;
    state.attemptCount += 1;
    state.attempts.push(attempt);
    this.#attempts.set(attemptId, { state, attempt });
    target.onRequestSent(nowMs);
    target.health.onDispatch(attemptId);
    this.prefixes.onDispatch(target.name, prefixHashes);
  }

  onFirstToken(state: RequestState, attempt: AttemptState, nowMs: number): void {
    const { target, sentAtMs, predictedFirstTokenMs, predictedUncachedTokenCount } = attempt;
    const firstTokenMs = nowMs - sentAtMs;
    attempt.firstTokenAtMs = nowMs;
    this.#times.addFirstToken(state.model, predictedUncachedTokenCount, firstTokenMs);
    const ratio = firstTokenMs / Math.max(1, predictedFirstTokenMs);
    target.health.addLatencyRatio(ratio);
    target.concurrencyLimit.onFirstToken(ratio, target.inFlightCount, target.batchLimitCount * 2, nowMs);
  }

  /** Ends an attempt and updates the health and limit of its target. */
  endAttempt(state: RequestState, attempt: AttemptState, end: AttemptEndKind, nowMs: number): void {
    const { target, attemptId } = attempt;
    const { isTargetFault } = attemptEndTraits[end];
    const isCompleted = end === AttemptEndKind.Completed;
    this.#attempts.delete(attemptId);
    state.attempts.splice(state.attempts.indexOf(attempt), 1);
    target.onRequestEnded(nowMs);
    const wasEjected = target.health.isEjected;
    if (isTargetFault) {
      target.health.addError(nowMs);
    } else if (isCompleted) {
      target.health.addSuccess(nowMs);
    } else if (end === AttemptEndKind.TargetOverloaded) {
      target.concurrencyLimit.onOverload(nowMs);
    }
    const probeResult = isCompleted ? true : null;
    target.health.onAttemptEnded(attemptId, isTargetFault ? false : probeResult, nowMs);
    const isEjected = target.health.isEjected;
    if (wasEjected && !isEjected) {
      this.#events.add(PolicyEvent.Readmitted);
    }
    if (isCompleted && state.sentTokenCount === 0) {
      this.#recordServiceTime(state, attempt, nowMs);
    }
    state.sentTokenCount += attempt.tokenCount;
    if (state.sentTokenCount > 0) {
      state.sentByVersion = target.view.announcement.version;
    }
  }

  /** Predicted duration of the remaining work; a resumed stream repeats the prefill but not the output. */
  getRemainingMs(state: RequestState): number {
    const { promptTokenCount, maxTokenCount } = state.request;
    const predicted = this.#times.getServiceMs(state.model, state.request);
    if (state.sentTokenCount === 0) {
      return Math.max(1, predicted);
    }
    const outputCount = this.#times.getOutputTokenCount(state.model, maxTokenCount);
    const remainingCount = Math.max(1, outputCount - state.sentTokenCount);
    const gapMs = this.#times.getTokenGapMs(state.model);
    return Math.max(1, this.#times.getPrefillMs(state.model, promptTokenCount) + remainingCount * gapMs);
  }

  /** Predicted duration of the remaining work, with a margin for long responses. */
  getConservativeRemainingMs(state: RequestState): number {
    const marginMs =
      this.admission.getConservativeServiceMs(state) - this.#times.getServiceMs(state.model, state.request);
    return this.getRemainingMs(state) + marginMs;
  }

  /** Whether the only attempt of a request streams too slowly to meet the deadline; see `isStreamLate`. */
  isLate(state: RequestState, attempt: AttemptState, nowMs: number): boolean {
    const { maxTokenCount, deadlineAtMs } = state.request;
    const outputCount = this.#times.getConservativeOutputTokenCount(state.model, maxTokenCount);
    return isStreamLate(attempt, {
      remainingTokenCount: Math.max(1, outputCount - state.sentTokenCount - attempt.tokenCount),
      meanGapMs: this.#times.getTokenGapMs(state.model),
      deadlineAtMs,
      nowMs,
    });
  }

  /** Removes a request that has ended and corrects the tokens charged for it. */
  removeRequest(state: RequestState, nowMs: number): void {
    const { request, chargedTokenCount, sentTokenCount, attempts } = state;
    if (!this.requests.delete(request.requestId)) {
      return;
    }
    const currentCount = attempts.reduce((sum, { tokenCount }) => sum + tokenCount, 0);
    const outputCount = sentTokenCount + currentCount;
    const usedCount = state.attemptCount === 0 ? 0 : request.promptTokenCount + outputCount;
    this.admission.limits.correctTokens(request.team, usedCount - chargedTokenCount, nowMs);
  }

  #recordServiceTime({ model, request }: RequestState, attempt: AttemptState, nowMs: number): void {
    const { firstTokenAtMs, sentAtMs, tokenCount } = attempt;
    if (request.maxTokenCount === 0) {
      this.#times.addCall(model, nowMs - sentAtMs);
    } else if (firstTokenAtMs !== null) {
      this.#times.addResponse(model, tokenCount, request.maxTokenCount, nowMs - firstTokenAtMs);
    }
  }

  #getBudgetShare(): number {
    return this.#isBudgetEnabled ? this.#config.defaults.retryBudgetShare : Number.MAX_SAFE_INTEGER;
  }
}
