import { Outcome } from "@clementinemux/common/Outcome";
import type { Random } from "@clementinemux/common/Random";
import { RefusalReason } from "@clementinemux/common/RefusalReason";
import { RetryReason } from "@clementinemux/common/RetryReason";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import { AttemptEndKind } from "./AttemptEndKind";
import type { AttemptState } from "./AttemptState";
import type { ExplainRecord } from "./ExplainRecord";
import type { Policy } from "./Policy";
import type { PolicyAction } from "./PolicyAction";
import { PolicyActionKind } from "./PolicyActionKind";
import { PolicyCounters } from "./PolicyCounters";
import { PolicyEvent } from "./PolicyEvent";
import type { PolicyOptions } from "./PolicyOptions";
import type { PolicyRequest } from "./PolicyRequest";
import { PolicyState } from "./PolicyState";
import type { RequestState } from "./RequestState";
import type { TargetView } from "./TargetView";
import type { TeamLimits } from "./admission/TeamLimits";
import { computeRetryAfterMs } from "./admission/computeRetryAfterMs";
import { attemptEndTraits } from "./health/attemptEndTraits";
import { planRetry } from "./health/planRetry";
import type { Candidate } from "./routing/Candidate";
import { findPreemptionVictim } from "./admission/findPreemptionVictim";

type Actions = PolicyAction[];

/**
 * Policy of one entry; see `Policy`. Combines admission, queueing, routing, retries, hedging and preemption.
 */
export class EntryPolicy implements Policy {
  readonly counters = new PolicyCounters();
  readonly #state: PolicyState;
  readonly #random: Random;
  readonly #entryId: string;
  #attemptNumber = 0;

  constructor(options: PolicyOptions) {
    this.#entryId = options.entryId;
    this.#random = options.random;
    this.#state = new PolicyState(options, this.counters.events);
  }

  applyConfig(config: FleetConfig): readonly PolicyAction[] {
    this.#state.setConfig(config);
    return [];
  }

  applyTargets(targets: readonly TargetView[], nowMs: number): readonly PolicyAction[] {
    this.#state.targets.applyViews(targets, nowMs);
    return this.#dispatchAllQueues(nowMs);
  }

  get limits(): TeamLimits {
    return this.#state.admission.limits;
  }

  /** Number of entries among which a team's limit is divided until leased shares arrive. */
  setLiveEntryCount(count: number): void {
    this.#state.admission.limits.setLiveEntryCount(count);
  }

  /** Applies a cache event of a target; see `PrefixIndex`. */
  onCacheEvent(
    target: string,
    sequence: number,
    stored: readonly number[],
    evicted: readonly number[],
  ): void {
    this.#state.prefixes.onCacheEvent(target, sequence, stored, evicted);
  }

  /** Applies the number of leading prompt blocks that the response of an attempt reports as cached. */
  onCachedBlockCount(attemptId: string, cachedBlockCount: number): void {
    const found = this.#state.findAttempt(attemptId);
    if (found !== null) {
      const { request } = found.state;
      this.#state.prefixes.onResponse(found.attempt.target.name, request.prefixHashes, cachedBlockCount);
    }
  }

  explain(requestId: string): readonly ExplainRecord[] {
    return this.#state.explainLog.get(requestId);
  }

  submit(request: PolicyRequest, nowMs: number): readonly PolicyAction[] {
    const state = this.#state.createRequest(request);
    const queue = this.#state.getQueue(state);
    const refusal = this.#state.admission.check(state, queue, nowMs);
    if (refusal !== null) {
      return [this.#refuse(state, refusal.reason, Outcome.NotRun, nowMs, refusal.waitMs)];
    }
    this.#state.requests.set(request.requestId, state);
    this.#state.budget.addRequest(request.team, nowMs, request.requestClass);
    this.#enqueue(state, false);
    const actions = this.#dispatchQueued(state, nowMs);
    if (state.isQueued) {
      this.counters.events.add(PolicyEvent.Queued);
    }
    return actions;
  }

  onTokens(attemptId: string, tokenCount: number, nowMs: number): readonly PolicyAction[] {
    const found = this.#state.findAttempt(attemptId);
    if (found === null) {
      return [];
    }
    const { state, attempt } = found;
    attempt.tokenCount = tokenCount;
    if (attempt.firstTokenAtMs !== null || tokenCount === 0) {
      return [];
    }
    this.#state.onFirstToken(state, attempt, nowMs);
    if (attempt.isHedge) {
      this.counters.events.add(PolicyEvent.HedgeWon);
    }
    // The attempt with the first token wins; the others would only duplicate its work.
    const losers = state.attempts.filter((other) => other !== attempt);
    return losers.map((loser) => this.#cancel(state, loser, RetryReason.Hedge, nowMs));
  }

  onAttemptEnded(attemptId: string, end: AttemptEndKind, nowMs: number): readonly PolicyAction[] {
    const found = this.#state.findAttempt(attemptId);
    if (found === null) {
      return [];
    }
    const { state, attempt } = found;
    const { isProvedNotRun } = attemptEndTraits[end];
    this.#state.endAttempt(state, attempt, end, nowMs);
    state.mayHaveRun ||= !isProvedNotRun || attempt.tokenCount > 0;
    if (!this.#state.requests.has(state.request.requestId)) {
      return this.#dispatchQueued(state, nowMs);
    }
    const isOver = end === AttemptEndKind.Completed || end === AttemptEndKind.Cancelled;
    const losers = isOver ? [...state.attempts] : [];
    const actions: Actions = losers.map((loser) => this.#cancel(state, loser, RetryReason.Hedge, nowMs));
    if (isOver) {
      this.#state.removeRequest(state, nowMs);
    } else if (state.attempts.length === 0) {
      actions.push(...this.#retryOrRefuse(state, attempt, end, nowMs));
    }
    this.#state.targets.ejectOutliers(this.#state.config.defaults.maxEjectedShare, nowMs);
    actions.push(...this.#dispatchQueued(state, nowMs));
    return actions;
  }

  onCallerGone(requestId: string, nowMs: number): readonly PolicyAction[] {
    const state = this.#state.requests.get(requestId);
    if (state === undefined) {
      return [];
    }
    this.counters.refusals.add(RefusalReason.CallerGone);
    this.#state.dropFromQueue(state);
    this.#state.removeRequest(state, nowMs);
    // The response of a non-repeatable request is recorded even though its caller has disconnected.
    const cancelled = state.request.repeatable ? [...state.attempts] : [];
    const actions = cancelled.map((attempt) => this.#cancel(state, attempt, RefusalReason.CallerGone, nowMs));
    return [...actions, ...this.#dispatchQueued(state, nowMs)];
  }

  onTick(nowMs: number): readonly PolicyAction[] {
    const actions: Actions = [];
    for (const state of [...this.#state.requests.values()]) {
      if (state.request.deadlineAtMs <= nowMs) {
        actions.push(...this.#abandon(state, RefusalReason.DeadlinePassed, nowMs));
      } else if (!state.isQueued) {
        actions.push(...this.#hedge(state, nowMs), ...this.#moveLateStream(state, nowMs));
      }
    }
    for (const { state, waitMs } of this.#state.findUnreachable(nowMs)) {
      actions.push(...this.#abandon(state, RefusalReason.DeadlineUnreachable, nowMs, waitMs));
    }
    return [...actions, ...this.#dispatchAllQueues(nowMs)];
  }

  #retryOrRefuse(state: RequestState, attempt: AttemptState, end: AttemptEndKind, nowMs: number): Actions {
    const { admission, router, config, budget } = this.#state;
    state.triedTargets.add(attempt.target.name);
    state.triedDomains.add(attempt.target.view.announcement.failureDomain);
    const plan = planRetry(state, end, {
      maxAttempts: config.defaults.maxAttempts,
      serviceMs: this.#state.getRemainingMs(state),
      hasServingTarget: router.findServingTargets(state).length > 0,
      nowMs,
      tryTakeBudget: () => budget.tryTake(state.team, nowMs, state.request.requestClass),
    });
    if ("refusal" in plan) {
      this.#state.removeRequest(state, nowMs);
      const waitMs = admission.predictWaitMs(state, this.#state.getQueue(state), nowMs);
      return [this.#refuse(state, plan.refusal, plan.outcome, nowMs, waitMs)];
    }
    state.retryReason = plan.retryReason;
    this.counters.retries.add(plan.retryReason);
    this.#enqueue(state, true);
    return [];
  }

  #abandon(state: RequestState, reason: RefusalReason, nowMs: number, waitMs = 0): Actions {
    const wasSent = state.attempts.length > 0 || state.mayHaveRun;
    this.#state.dropFromQueue(state);
    this.#state.removeRequest(state, nowMs);
    // A non-repeatable request that was sent keeps running: its response is recorded under its key.
    const cancelled = state.request.repeatable ? [...state.attempts] : [];
    const actions = cancelled.map((attempt) => this.#cancel(state, attempt, reason, nowMs));
    return [
      ...actions,
      this.#refuse(state, reason, wasSent ? Outcome.Unknown : Outcome.NotRun, nowMs, waitMs),
    ];
  }

  #hedge(state: RequestState, nowMs: number): Actions {
    const { config, budget, router, admission } = this.#state;
    const attempt = state.attempts[0];
    const { classDefaults } = state.settings;
    if (!classDefaults.mayHedge || !state.request.repeatable || state.isHedged || attempt === undefined) {
      return [];
    }
    const delayMs = Math.max(classDefaults.firstTokenMs, 3 * attempt.predictedFirstTokenMs);
    const isLate = attempt.firstTokenAtMs === null && nowMs - attempt.sentAtMs > delayMs;
    const isInTime = nowMs + admission.getConservativeServiceMs(state) <= state.request.deadlineAtMs;
    if (!isLate || !isInTime || state.attemptCount >= config.defaults.maxAttempts) {
      return [];
    }
    state.triedTargets.add(attempt.target.name);
    state.triedDomains.add(attempt.target.view.announcement.failureDomain);
    const candidates = router.findCandidates(state, nowMs).filter(({ target }) => target !== attempt.target);
    const chosen = router.choose(candidates);
    if (chosen === null || !budget.tryTake(state.team, nowMs, state.request.requestClass)) {
      return [];
    }
    state.isHedged = true;
    state.retryReason = RetryReason.Hedge;
    this.counters.events.add(PolicyEvent.Hedged);
    this.counters.retries.add(RetryReason.Hedge);
    return [this.#dispatch(state, chosen, candidates, nowMs)];
  }

  /**
   * Moves an important stream that would miss its deadline. It resumes on another target after the last token
   * sent, and the move is charged to the retry budget.
   */
  #moveLateStream(state: RequestState, nowMs: number): Actions {
    const [attempt, ...others] = state.attempts;
    const { config, budget } = this.#state;
    const mayMove = state.settings.classDefaults.mayHedge && state.request.repeatable;
    if (attempt === undefined || others.length > 0 || !mayMove) {
      return [];
    }
    const hasAttempts = state.attemptCount < config.defaults.maxAttempts;
    if (
      !hasAttempts ||
      !this.#state.isLate(state, attempt, nowMs) ||
      !budget.tryTake(state.team, nowMs, state.request.requestClass)
    ) {
      return [];
    }
    state.triedTargets.add(attempt.target.name);
    const cancel = this.#cancel(state, attempt, RetryReason.TokenGapTimeout, nowMs);
    state.retryReason = RetryReason.TokenGapTimeout;
    this.counters.events.add(PolicyEvent.StreamMoved);
    this.counters.retries.add(RetryReason.TokenGapTimeout);
    this.#enqueue(state, true);
    return [cancel, ...this.#dispatchQueued(state, nowMs)];
  }

  #enqueue(state: RequestState, front: boolean): void {
    state.isQueued = true;
    state.costMs = this.#state.getRemainingMs(state);
    this.#state.getQueue(state).push(state, front);
  }

  #dispatchAllQueues(nowMs: number): Actions {
    return this.#state.getQueuedHeads().flatMap((state) => this.#dispatchQueued(state, nowMs));
  }

  /**
   * Dispatches requests from the queue that the given request belongs to, as long as a target has capacity.
   */
  #dispatchQueued(member: RequestState, nowMs: number): Actions {
    const { router } = this.#state;
    const queue = this.#state.getQueue(member);
    const actions: Actions = [];
    for (;;) {
      const choice = { candidates: [] as readonly Candidate[], chosen: null as Candidate | null };
      const state = queue.pop((item) => {
        choice.candidates = router.findCandidates(item, nowMs);
        choice.chosen = router.choose(choice.candidates);
        return choice.chosen !== null;
      });
      if (state === null || choice.chosen === null) {
        break;
      }
      actions.push(this.#dispatch(state, choice.chosen, choice.candidates, nowMs));
    }
    for (const head of queue.getHeads()) {
      actions.push(...this.#preemptFor(head, nowMs));
    }
    return actions;
  }

  /** Preempts an attempt for a queued request whose class is not preemptible, at most once per request. */
  #preemptFor(head: RequestState, nowMs: number): Actions {
    if (head.settings.classDefaults.preemptible || head.hasPreempted) {
      return [];
    }
    const victim = findPreemptionVictim(
      head,
      this.#state.requests.values(),
      this.#state.router.findServingTargets(head),
    );
    if (victim === null) {
      return [];
    }
    head.hasPreempted = true;
    this.counters.events.add(PolicyEvent.Preempted);
    const { state, attempt } = victim;
    const actions: Actions = [this.#cancel(state, attempt, RefusalReason.Preempted, nowMs)];
    state.retryReason = null;
    this.#enqueue(state, true);
    this.#state.dropFromQueue(head);
    const candidate = this.#state.router.score(attempt.target, head, nowMs);
    actions.push(this.#dispatch(head, candidate, [candidate], nowMs));
    return actions;
  }

  #dispatch(
    state: RequestState,
    chosen: Candidate,
    candidates: readonly Candidate[],
    nowMs: number,
  ): PolicyAction {
    this.#attemptNumber += 1;
    const attemptId = `${this.#entryId}-${this.#attemptNumber}`;
    this.#state.startAttempt(state, attemptId, chosen, nowMs);
    const resume = state.sentTokenCount > 0;
    if (resume) {
      this.counters.events.add(PolicyEvent.Resumed);
    }
    this.#explain(state, `dispatch:${state.retryReason ?? "first"}`, chosen.target.name, candidates, nowMs);
    return {
      kind: PolicyActionKind.Dispatch,
      requestId: state.request.requestId,
      attemptId,
      target: chosen.target.name,
      enginePriority: state.settings.classDefaults.enginePriority,
      retryReason: state.retryReason,
      resume,
    };
  }

  #cancel(
    state: RequestState,
    attempt: AttemptState,
    reason: RefusalReason | RetryReason,
    nowMs: number,
  ): PolicyAction {
    this.#state.endAttempt(state, attempt, AttemptEndKind.Cancelled, nowMs);
    // The cancellation may reach the target after it has started the request.
    state.mayHaveRun = true;
    this.#explain(state, `cancel:${reason}`, attempt.target.name, [], nowMs);
    const { requestId } = state.request;
    return { kind: PolicyActionKind.CancelAttempt, requestId, attemptId: attempt.attemptId, reason };
  }

  #refuse(
    state: RequestState,
    reason: RefusalReason,
    outcome: Outcome,
    nowMs: number,
    waitMs: number,
  ): PolicyAction {
    this.counters.refusals.add(reason);
    this.#explain(state, `refuse:${reason}`, null, [], nowMs, waitMs);
    const retryAfterMs = computeRetryAfterMs(waitMs, this.#random);
    return {
      kind: PolicyActionKind.Refuse,
      requestId: state.request.requestId,
      reason,
      outcome,
      retryAfterMs,
    };
  }

  #explain(
    { request: { requestId } }: RequestState,
    decision: string,
    target: string | null,
    candidates: readonly Candidate[],
    atMs: number,
    predictedWaitMs = 0,
  ): void {
    const scores = candidates.map((candidate) => ({
      target: candidate.target.name,
      scoreMs: candidate.scoreMs,
      parts: candidate.parts,
    }));
    this.#state.explainLog.add({ atMs, requestId, decision, target, predictedWaitMs, candidates: scores });
  }
}
