import { Outcome } from "@clementinemux/common/Outcome";
import { RefusalReason } from "@clementinemux/common/RefusalReason";
import type { FleetDefaults } from "@clementinemux/fleet/FleetDefaults";
import { AttemptEndKind } from "@clementinemux/policy/AttemptEndKind";
import type { PolicyAction } from "@clementinemux/policy/PolicyAction";
import type { PolicyActionKind } from "@clementinemux/policy/PolicyActionKind";
import type { PolicyRequest } from "@clementinemux/policy/PolicyRequest";
import type { ResponseSink } from "./ResponseSink";
import type { ClaimGuard } from "./ClaimGuard";
import { ModelAttempt } from "./ModelAttempt";
import type { ModelAttemptListener } from "./ModelAttemptListener";
import type { ModelRequest } from "./ModelRequest";
import type { Problem } from "./Problem";
import { RequestSession } from "./RequestSession";
import { ResumeMode } from "./ResumeMode";
import type { SessionContext } from "./SessionContext";
import { StreamCursor } from "./StreamCursor";
import { StreamFault } from "./StreamFault";
import type { TargetLink } from "./TargetLink";
import { TokenPosition } from "./TokenPosition";
import { createUpstreamBody } from "./createUpstreamBody";
import { charactersPerToken } from "./charactersPerToken";
import { prefixBlockCharacters } from "./prefixBlockCharacters";
import { getTailText } from "./getTailText";
import { resumeHeaderNames } from "@clementinemux/common/resumeHeaderNames";

interface ModelSessionOptions {
  readonly request: PolicyRequest;
  readonly key: string;
  readonly model: ModelRequest;
  readonly sink: ResponseSink;
  readonly claim: ClaimGuard | null;
  readonly traceparent: string | null;
  readonly onSessionEnded: () => void;
}

const timeoutEndKinds: ReadonlySet<AttemptEndKind> = new Set([
  AttemptEndKind.FirstTokenTimeout,
  AttemptEndKind.TokenGapTimeout,
]);
const provenNotRun: ReadonlySet<AttemptEndKind> = new Set([
  AttemptEndKind.AgentRefused,
  AttemptEndKind.TargetOverloaded,
  AttemptEndKind.ConnectFailed,
]);
const probeTimeoutMs = 500;

/** Session of a model request. Sends every token to the caller exactly once, across all attempts. */
export class ModelSession extends RequestSession implements ModelAttemptListener {
  readonly #options: ModelSessionOptions;
  readonly #cursor = new StreamCursor();
  readonly #attempts = new Map<string, ModelAttempt>();
  /** Tails of the sent tokens, for a replay. Kept only when a replay is possible. */
  readonly #sentTails: string[] = [];
  /** The attempt whose tokens are sent to the caller. */
  #current: ModelAttempt | null = null;
  /** The last attempt that yielded tokens. Its engine may be able to resume the stream. */
  #lastStreamed: ModelAttempt | null = null;
  #lastChunkAtMs = 0;
  #anyAttemptMayHaveRun = false;

  constructor(options: ModelSessionOptions, context: SessionContext) {
    super(options.request, options.key, context, options.claim, options.onSessionEnded);
    this.#options = options;
  }

  tick(nowMs: number, defaults: FleetDefaults): void {
    for (const attempt of [...this.#attempts.values()]) {
      const timeout = attempt.checkProgress(nowMs, defaults);
      if (timeout !== null) {
        attempt.abort();
        this.onEnded(attempt, timeout);
      }
    }
  }

  onToken(attempt: ModelAttempt, tokenIndex: number, tail: string): boolean {
    if (!this.#continuesResponse(attempt)) {
      return false;
    }
    this.#current = attempt;
    const position = this.#cursor.advance(tokenIndex);
    if (position === TokenPosition.Gap) {
      this.onFault(attempt, StreamFault.MissingToken);
      return false;
    }
    if (position === TokenPosition.Duplicate) {
      this.onFault(attempt, StreamFault.DuplicateToken);
      return true;
    }
    this.#options.sink.addToken(tokenIndex, tail);
    if (this.#options.model.deterministic) {
      this.#sentTails.push(tail);
    }
    return true;
  }

  onChunkEnd(attempt: ModelAttempt): void {
    if (this.#current !== attempt || this.ended) {
      return;
    }
    this.#recordTiming();
    this.#lastStreamed = attempt;
    if (!this.#options.sink.flush(attempt.link.announcement.target)) {
      attempt.pause();
      this.#options.sink.onDrain(() => {
        attempt.resume();
      });
    }
    this.context.dispatcher.onTokens(attempt.attemptId, this.#cursor.nextIndex);
  }

  onFault(attempt: ModelAttempt, fault: StreamFault): void {
    this.context.metrics.streamFaults.add(fault);
    const { requestId, team } = this.request;
    const { target } = attempt.link.announcement;
    this.context.log("stream fault", { requestId, team, target, attemptId: attempt.attemptId, fault });
  }

  onCompleted(attempt: ModelAttempt, finishReason: string, tokenCount: number | null): void {
    if (!this.#continuesResponse(attempt)) {
      this.onEnded(attempt, AttemptEndKind.Cancelled);
      return;
    }
    const { nextIndex } = this.#cursor;
    if (tokenCount !== null && tokenCount !== nextIndex) {
      this.onFault(attempt, StreamFault.TokenCountMismatch);
      this.onEnded(attempt, AttemptEndKind.StreamBroken);
      return;
    }
    const { target } = attempt.link.announcement;
    this.#attempts.delete(attempt.attemptId);
    this.#options.sink.finish(target, finishReason, nextIndex);
    this.#addTokens();
    this.reportEnd(attempt.attemptId, AttemptEndKind.Completed);
    this.succeed(this.#options.sink.getRecord(), target);
  }

  onCachedTokens(attempt: ModelAttempt, tokenCount: number): void {
    this.context.dispatcher.onCachedBlockCount(
      attempt.attemptId,
      Math.floor((tokenCount * charactersPerToken) / prefixBlockCharacters),
    );
  }

  onEnded(attempt: ModelAttempt, end: AttemptEndKind): void {
    this.#attempts.delete(attempt.attemptId);
    if (this.#current === attempt) {
      this.#current = null;
    }
    this.#anyAttemptMayHaveRun ||= !provenNotRun.has(end) && end !== AttemptEndKind.Cancelled;
    if (timeoutEndKinds.has(end)) {
      void attempt.link.replacePool(probeTimeoutMs, () => this.context.clock.monotonicMs());
    }
    // A hedged attempt that was overtaken by a faster one has not failed.
    const isOvertaken = this.#current !== null && end === AttemptEndKind.StreamBroken;
    this.reportEnd(attempt.attemptId, isOvertaken ? AttemptEndKind.Cancelled : end);
  }

  onRejected(attempt: ModelAttempt): void {
    this.#abandon(attempt, RefusalReason.BadRequest, Outcome.RunFailed);
  }

  onNotResumable(attempt: ModelAttempt): void {
    this.#abandon(attempt, RefusalReason.StreamNotResumable, Outcome.RunFailed);
  }

  protected launch(
    action: Extract<PolicyAction, { readonly kind: PolicyActionKind.Dispatch }>,
    link: TargetLink,
  ): void {
    const { model, traceparent } = this.#options;
    const sentTokenCount = this.#cursor.nextIndex;
    const last = this.#lastStreamed;
    const attempt: ModelAttempt = new ModelAttempt(
      {
        attemptId: action.attemptId,
        link,
        path: model.path,
        headers: {
          "content-type": "application/json",
          ...this.getUpstreamHeaders(action),
          ...(traceparent === null ? {} : { traceparent }),
        },
        modes: this.#getModes(link),
        sentTokenCount,
        maxTokenCount: model.maxTokenCount,
        resumeHeaders: {
          [resumeHeaderNames.attempt]: last?.attemptId ?? "",
          [resumeHeaderNames.fromToken]: String(sentTokenCount),
        },
        kvHeaders: {
          [resumeHeaderNames.kvSource]: last?.link.announcement.address ?? "",
          [resumeHeaderNames.kvStamp]: last?.link.stamp ?? "",
        },
        createBody: (mode) => this.#createBody(mode),
        repeatable: this.request.repeatable,
        mayWrite: () => this.mayWrite(),
        readNowMs: () => this.context.clock.monotonicMs(),
      },
      this,
    );
    this.#attempts.set(action.attemptId, attempt);
    attempt.start();
  }

  protected cancelRunning(attemptId: string): void {
    const attempt = this.#attempts.get(attemptId);
    if (attempt === undefined) {
      return;
    }
    this.#anyAttemptMayHaveRun ||= attempt.written;
    attempt.abort();
    this.#attempts.delete(attemptId);
    if (this.#current === attempt) {
      this.#current = null;
    }
  }

  protected abortAll(): void {
    for (const attempt of this.#attempts.values()) {
      this.#anyAttemptMayHaveRun ||= attempt.written;
      attempt.abort();
    }
    this.#attempts.clear();
  }

  protected sendFailure(problem: Problem): void {
    this.#options.sink.fail(problem);
  }

  protected detachCaller(): void {
    this.#options.sink.detach();
    // Otherwise a paused attempt would wait forever for the disconnected caller to read.
    this.#current?.resume();
  }

  protected mayHaveRun(): boolean {
    return this.#anyAttemptMayHaveRun || this.hasRunningAttempt();
  }

  protected hasRunningAttempt(): boolean {
    return [...this.#attempts.values()].some(({ written }) => written);
  }

  /**
   * Whether the attempt's tokens continue the response. Hedged attempts that both start at the first token
   * give different responses unless the request is deterministic, so only the first one to yield a token is
   * used.
   */
  #continuesResponse(attempt: ModelAttempt): boolean {
    if (this.#current !== null) {
      return this.#current === attempt;
    }
    const continues = attempt.sentTokenCount === this.#cursor.nextIndex;
    return continues || this.#options.model.deterministic;
  }

  #getModes(link: TargetLink): ResumeMode[] {
    const last = this.#lastStreamed;
    if (this.#cursor.nextIndex === 0 || last === null) {
      return [ResumeMode.Fresh];
    }
    const isSameTarget = last.link.announcement.target === link.announcement.target;
    return [
      isSameTarget ? ResumeMode.Engine : ResumeMode.KvImport,
      ...(this.#options.model.deterministic ? [ResumeMode.Replay] : []),
    ];
  }

  #createBody(mode: ResumeMode): string {
    if (mode !== ResumeMode.Replay) {
      return createUpstreamBody(this.#options.model, "", 0);
    }
    const sentText = this.#sentTails.map(getTailText).join("");
    return createUpstreamBody(this.#options.model, sentText, this.#sentTails.length);
  }

  #abandon(attempt: ModelAttempt, reason: RefusalReason, outcome: Outcome): void {
    this.#attempts.delete(attempt.attemptId);
    this.reportEnd(attempt.attemptId, AttemptEndKind.Cancelled);
    this.context.dispatcher.onCallerGone(this.request.requestId);
    void this.fail(reason, outcome, 0);
  }

  #recordTiming(): void {
    const { metrics, clock } = this.context;
    const nowMs = clock.monotonicMs();
    if (this.#lastChunkAtMs === 0) {
      metrics.recordMs("first_token", this.request.requestClass, nowMs - this.request.arrivedAtMs);
    } else {
      metrics.recordMs("token_gap", this.request.requestClass, nowMs - this.#lastChunkAtMs);
    }
    this.#lastChunkAtMs = nowMs;
  }

  #addTokens(): void {
    this.context.metrics.addTokens(this.#cursor.nextIndex);
    const explained = this.context.explain.get(this.request.requestId);
    if (explained !== null) {
      explained.tokenCount = this.#cursor.nextIndex;
    }
  }
}
