import { Outcome } from "@clementinemux/common/Outcome";
import { RefusalReason } from "@clementinemux/common/RefusalReason";
import type { RetryReason } from "@clementinemux/common/RetryReason";
import { headerNames } from "@clementinemux/common/headerNames";
import type { FleetDefaults } from "@clementinemux/fleet/FleetDefaults";
import type { RecordedResponse } from "@clementinemux/messages/RecordedResponse";
import { AttemptEndKind } from "@clementinemux/policy/AttemptEndKind";
import type { PolicyAction } from "@clementinemux/policy/PolicyAction";
import type { PolicyActionKind } from "@clementinemux/policy/PolicyActionKind";
import type { PolicyRequest } from "@clementinemux/policy/PolicyRequest";
import { encodeHeaderText } from "@clementinemux/wire/encodeHeaderText";
import type { ClaimGuard } from "./ClaimGuard";
import type { Problem } from "./Problem";
import type { Session } from "./Session";
import type { SessionContext } from "./SessionContext";
import type { TargetLink } from "./TargetLink";
import { createProblem } from "./createProblem";

type DispatchAction = Extract<PolicyAction, { readonly kind: PolicyActionKind.Dispatch }>;
type RefuseAction = Extract<PolicyAction, { readonly kind: PolicyActionKind.Refuse }>;

interface RefusalFields {
  readonly requestId: string;
  readonly reason: RefusalReason;
  readonly outcome: Outcome;
  readonly retryAfterMs: number;
}

/** Ends of attempts that a crash of the target may show as. */
const brokenEnds: ReadonlySet<AttemptEndKind> = new Set([
  AttemptEndKind.StreamBroken,
  AttemptEndKind.TargetError,
]);

/** Base of model and service sessions: claims, refusals, recorded responses and logs. */
export abstract class RequestSession implements Session {
  readonly request: PolicyRequest;
  /** Equal for all attempts and repeats of the request, at any entry. */
  readonly #key: string;
  /** Attempts that have been sent, and when. */
  readonly #sent = new Map<string, { readonly link: TargetLink; readonly atMs: number }>();
  protected readonly context: SessionContext;
  /** Nothing more is sent to the caller: it has disconnected or has received an error. */
  protected callerDetached = false;
  readonly #claim: ClaimGuard | null;
  readonly #onSessionEnded: () => void;
  #ended = false;
  #firstDispatch = true;
  /** The policy has abandoned the request, but the response to its claimed dispatch is still awaited. */
  #abandonedByPolicy = false;
  /** Attempts whose claim is being renewed. Cancelling one removes it, so that it is not launched. */
  readonly #renewingClaims = new Set<string>();

  constructor(
    request: PolicyRequest,
    key: string,
    context: SessionContext,
    claim: ClaimGuard | null,
    onSessionEnded: () => void,
  ) {
    this.request = request;
    this.#key = key;
    this.context = context;
    this.#claim = claim;
    this.#onSessionEnded = onSessionEnded;
  }

  get ended(): boolean {
    return this.#ended;
  }

  dispatch(action: DispatchAction): void {
    if (this.#ended) {
      return;
    }
    this.#recordDispatch(action);
    if (this.#claim === null) {
      this.#launch(action);
      return;
    }
    void this.#dispatchClaimed(action, this.#claim);
  }

  refuse({ reason, outcome, retryAfterMs }: RefuseAction): void {
    if (this.#claim !== null && outcome === Outcome.Unknown && this.hasRunningAttempt()) {
      // The caller gets the error now, but the response is still awaited and recorded for the caller's retry.
      this.#abandonedByPolicy = true;
      this.#sendFailureToCaller(
        createProblem(this.#getRefusal(reason, outcome, retryAfterMs), this.context.random),
      );
      this.context.metrics.refusals.add(reason);
      return;
    }
    void this.fail(reason, outcome, retryAfterMs);
  }

  cancelAttempt(attemptId: string, reason: RefusalReason | RetryReason): void {
    if (!this.request.repeatable && this.hasRunningAttempt()) {
      // The target may have run the attempt even if it is cancelled, so its response is awaited instead.
      return;
    }
    this.#renewingClaims.delete(attemptId);
    this.cancelRunning(attemptId, reason);
    this.reportEnd(attemptId, AttemptEndKind.Cancelled);
  }

  endNow(reason: RefusalReason): void {
    const outcome = this.mayHaveRun() ? Outcome.Unknown : Outcome.NotRun;
    this.context.dispatcher.onCallerGone(this.request.requestId);
    this.abortAll();
    void this.fail(reason, outcome, 0);
  }

  /** The caller's connection has closed before the response was complete. */
  onCallerGone(): void {
    if (this.#ended || this.callerDetached) {
      return;
    }
    this.callerDetached = true;
    this.detachCaller();
    if (!this.request.repeatable && this.hasRunningAttempt()) {
      // The target may be running it, so the response is awaited and recorded for the caller's retry.
      return;
    }
    const outcome = this.mayHaveRun() ? Outcome.Unknown : Outcome.NotRun;
    this.context.dispatcher.onCallerGone(this.request.requestId);
    this.abortAll();
    void this.fail(RefusalReason.CallerGone, outcome, 0);
  }

  abstract tick(nowMs: number, defaults: FleetDefaults): void;

  protected abstract launch(action: DispatchAction, link: TargetLink): void;
  protected abstract cancelRunning(attemptId: string, reason: RefusalReason | RetryReason): void;
  protected abstract abortAll(): void;
  protected abstract sendFailure(problem: Problem): void;
  protected abstract detachCaller(): void;
  /** Whether a target may have run the request: an attempt was written and is not proven unexecuted. */
  protected abstract mayHaveRun(): boolean;
  /** Whether an attempt has been written to a target and is still in flight. */
  protected abstract hasRunningAttempt(): boolean;

  /** Checked immediately before the first byte is written. */
  protected mayWrite(): boolean {
    return !this.#ended && this.context.clock.monotonicMs() < this.request.deadlineAtMs;
  }

  protected reportEnd(attemptId: string, end: AttemptEndKind): void {
    const explanation = this.context.explain.get(this.request.requestId);
    const attempt = explanation?.attempts.find((each) => each.attemptId === attemptId);
    if (attempt !== undefined) {
      attempt.end = end;
      attempt.endedAfterMs = this.#getAgeMs();
    }
    const { dispatcher, clock } = this.context;
    if (end === AttemptEndKind.ConnectFailed && clock.monotonicMs() >= this.request.deadlineAtMs) {
      // The deadline passed before the first byte was written, so another target would be too late as well.
      dispatcher.onAttemptEnded(attemptId, AttemptEndKind.Cancelled);
      dispatcher.onCallerGone(this.request.requestId);
      void this.fail(RefusalReason.DeadlinePassed, Outcome.NotRun, 0);
      return;
    }
    const sent = this.#sent.get(attemptId);
    if (sent !== undefined && brokenEnds.has(end)) {
      void this.context.crashes.examine(this.#key, sent.link, sent.atMs).then(() => {
        this.#endAttempt(attemptId, end);
      });
    } else {
      this.#endAttempt(attemptId, end);
    }
  }

  #endAttempt(attemptId: string, end: AttemptEndKind): void {
    this.#sent.delete(attemptId);
    const waitMs = end === AttemptEndKind.Completed ? 0 : this.context.crashes.getWaitMs(this.#key);
    if (waitMs > 0 && !this.#ended) {
      this.context.dispatcher.onCallerGone(this.request.requestId);
      this.abortAll();
      void this.fail(RefusalReason.TargetsFailed, Outcome.Unknown, waitMs);
      return;
    }
    this.context.dispatcher.onAttemptEnded(attemptId, end);
    if (this.#abandonedByPolicy && end !== AttemptEndKind.Completed) {
      void this.fail(RefusalReason.TargetsFailed, Outcome.Unknown, 0);
    }
  }

  protected getUpstreamHeaders(action: DispatchAction): Record<string, string> {
    const remainingMs = this.request.deadlineAtMs - this.context.clock.monotonicMs();
    return {
      [headerNames.requestId]: this.request.requestId,
      [headerNames.attemptId]: action.attemptId,
      [headerNames.revision]: String(this.context.getConfig().revision),
      [headerNames.team]: encodeHeaderText(this.request.team) ?? "",
      [headerNames.priority]: String(action.enginePriority),
      [headerNames.deadlineMs]: String(Math.max(0, Math.floor(remainingMs))),
    };
  }

  /**
   * Ends the request after the full response was passed to the caller's connection. `isAnswered` states whether the target
   * has run it without a failure.
   */
  protected succeed(record: RecordedResponse | null, target: string, isAnswered = true): void {
    if (this.#ended) {
      return;
    }
    void this.#claim?.complete(record);
    if (isAnswered) {
      this.context.crashes.noteAnswered(this.#key);
    }
    this.#close("completed", target);
  }

  /** Ends the request with an error. For a claimed request, `not_run` requires a committed cancellation. */
  protected async fail(reason: RefusalReason, outcome: Outcome, retryAfterMs: number): Promise<void> {
    if (this.#ended) {
      return;
    }
    this.#ended = true;
    this.context.metrics.refusals.add(reason);
    // The policy does not know whether bytes were written: a target may be running the request.
    let finalOutcome = outcome === Outcome.NotRun && this.mayHaveRun() ? Outcome.Unknown : outcome;
    if (finalOutcome === Outcome.NotRun && this.#claim !== null && !(await this.#claim.cancel())) {
      finalOutcome = Outcome.Unknown;
    }
    const refusal = this.#getRefusal(reason, finalOutcome, retryAfterMs);
    const problem = createProblem(refusal, this.context.random);
    if (finalOutcome !== Outcome.NotRun) {
      void this.#claim?.complete(finalOutcome === Outcome.RunFailed ? createRecord(problem) : null);
    }
    this.#sendFailureToCaller(problem);
    this.#close(reason, "");
  }

  async #dispatchClaimed(action: DispatchAction, claim: ClaimGuard): Promise<void> {
    this.#renewingClaims.add(action.attemptId);
    const mayDispatch = await claim.authorizeDispatch();
    if (!this.#renewingClaims.delete(action.attemptId) || this.#ended) {
      return;
    }
    if (!mayDispatch) {
      this.context.dispatcher.onCallerGone(this.request.requestId);
      await this.fail(RefusalReason.ClaimUnavailable, Outcome.Unknown, 0);
      return;
    }
    this.#launch(action);
  }

  #launch(action: DispatchAction): void {
    const link = this.context.fleet.getLink(action.target);
    if (link === null) {
      this.reportEnd(action.attemptId, AttemptEndKind.ConnectFailed);
      return;
    }
    this.#sent.set(action.attemptId, { link, atMs: this.context.clock.monotonicMs() });
    this.context.crashes.noteSent(this.#key);
    this.launch(action, link);
  }

  #recordDispatch(action: DispatchAction): void {
    const { metrics, explain } = this.context;
    const { requestId, requestClass, team } = this.request;
    const ageMs = this.#getAgeMs();
    if (action.retryReason !== null) {
      metrics.retries.add(action.retryReason);
      const { attemptId, target, retryReason } = action;
      this.context.log("attempt retried", { requestId, team, attemptId, target, reason: retryReason });
    } else if (this.#firstDispatch) {
      metrics.recordMs("queueing", requestClass, ageMs);
    }
    this.#firstDispatch = false;
    explain.get(requestId)?.attempts.push({
      attemptId: action.attemptId,
      target: action.target,
      startedAfterMs: ageMs,
      retryReason: action.retryReason,
      endedAfterMs: null,
      end: null,
    });
  }

  #sendFailureToCaller(problem: Problem): void {
    if (!this.callerDetached) {
      this.callerDetached = true;
      this.sendFailure(problem);
      this.detachCaller();
    }
  }

  #getRefusal(reason: RefusalReason, outcome: Outcome, retryAfterMs: number): RefusalFields {
    return { requestId: this.request.requestId, reason, outcome, retryAfterMs };
  }

  #close(result: string, target: string): void {
    this.#ended = true;
    this.abortAll();
    const { requestId, team } = this.request;
    this.context.dispatcher.remove(requestId);
    const explanation = this.context.explain.get(requestId);
    if (explanation !== null) {
      explanation.result = result;
    }
    const revision = this.context.getConfig().revision;
    const durationMs = this.#getAgeMs();
    this.context.log("request ended", { requestId, team, target, revision, result, durationMs });
    this.#onSessionEnded();
  }

  #getAgeMs(): number {
    return Math.round((this.context.clock.monotonicMs() - this.request.arrivedAtMs) * 100) / 100;
  }
}

function createRecord(problem: Problem): RecordedResponse {
  return {
    status: problem.status,
    contentType: "application/problem+json",
    body: Buffer.from(JSON.stringify(problem)),
  };
}
