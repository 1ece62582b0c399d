import type { IncomingHttpHeaders } from "node:http";
import { headerNames } from "@clementinemux/common/headerNames";
import type { FleetDefaults } from "@clementinemux/fleet/FleetDefaults";
import { AttemptEndKind } from "@clementinemux/policy/AttemptEndKind";
import { PieceAllowance } from "@clementinemux/wire/PieceAllowance";
import type { ModelAttemptListener } from "./ModelAttemptListener";
import { ResumeMode } from "./ResumeMode";
import { SseParser } from "./SseParser";
import type { StreamEvent } from "./StreamEvent";
import { StreamEventKind } from "./StreamEventKind";
import { StreamFault } from "./StreamFault";
import type { TargetLink } from "./TargetLink";
import { UpstreamCall } from "./UpstreamCall";
import type { UpstreamListener } from "./UpstreamListener";
import { getEventData } from "./getEventData";
import { parseStreamEvent } from "./parseStreamEvent";

interface ModelAttemptOptions {
  readonly attemptId: string;
  readonly link: TargetLink;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Modes to start in. The next one is tried when the engine responds that it cannot resume or times out. */
  readonly modes: readonly ResumeMode[];
  /** Tokens already sent to the caller. */
  readonly sentTokenCount: number;
  /** Maximum number of tokens of the full response. */
  readonly maxTokenCount: number;
  /** Headers that identify the stream to continue. Not sent for a fresh start or a replay. */
  readonly resumeHeaders: Readonly<Record<string, string>>;
  readonly kvHeaders: Readonly<Record<string, string>>;
  readonly createBody: (mode: ResumeMode) => string;
  readonly repeatable: boolean;
  readonly mayWrite: () => boolean;
  readonly readNowMs: () => number;
}

// A token event takes about 200 bytes. A working engine does not send events of this size.
const maxEventBytes = 262_144;
/** Events without a new token, such as comments; a working engine sends tens of them per second. */
const otherEventBurst = 1024;
const otherEventsPerS = 200;
const resumeTimeoutShare = 0.5;
const cannotResumeStatus = 409;

/**
 * One attempt of a model request. Reads the stream of one engine and checks that it belongs to this attempt.
 */
export class ModelAttempt implements UpstreamListener {
  readonly #options: ModelAttemptOptions;
  readonly #listener: ModelAttemptListener;
  readonly #modes: ResumeMode[];
  #mode = ResumeMode.Fresh;
  #call: UpstreamCall | null = null;
  #parser = new SseParser(maxEventBytes);
  readonly #otherEvents = new PieceAllowance(otherEventBurst, otherEventsPerS);
  #headAccepted = false;
  #refusal: AttemptEndKind | null = null;
  #rejected = false;
  #tryNextMode = false;
  #finalEvent: { readonly reason: string; readonly tokenCount: number | null } | null = null;
  #progressAtMs: number;
  /** Index of the latest new token of the running call; -1 before the first one. */
  #lastTokenIndex = -1;
  #receivedToken = false;
  #paused = false;
  #ended = false;

  constructor(options: ModelAttemptOptions, listener: ModelAttemptListener) {
    this.#options = options;
    this.#listener = listener;
    this.#modes = [...options.modes];
    this.#progressAtMs = options.readNowMs();
  }

  get attemptId(): string {
    return this.#options.attemptId;
  }

  get link(): TargetLink {
    return this.#options.link;
  }

  /** Number of tokens that the caller had received when this attempt began. */
  get sentTokenCount(): number {
    return this.#options.sentTokenCount;
  }

  get written(): boolean {
    return this.#call?.written ?? false;
  }

  start(): void {
    const mode = this.#modes.shift();
    if (mode === undefined) {
      this.#ended = true;
      this.#listener.onNotResumable(this);
      return;
    }
    const { link, path, headers, resumeHeaders, kvHeaders, repeatable, mayWrite, createBody } = this.#options;
    this.#mode = mode;
    this.#parser = new SseParser(maxEventBytes);
    this.#lastTokenIndex = -1;
    this.#call = new UpstreamCall(
      {
        link,
        method: "POST",
        path,
        headers: {
          ...headers,
          ...(mode === ResumeMode.Engine || mode === ResumeMode.KvImport ? resumeHeaders : {}),
          ...(mode === ResumeMode.KvImport ? kvHeaders : {}),
          [headerNames.stamp]: link.stamp ?? "",
        },
        body: createBody(mode),
        repeatable,
        mayWrite,
      },
      this,
    );
  }

  /** Stops reading until `resume`. Progress timeouts are suspended meanwhile. */
  pause(): void {
    this.#paused = true;
    this.#call?.pause();
  }

  resume(): void {
    this.#paused = false;
    this.#progressAtMs = this.#options.readNowMs();
    this.#call?.resume();
  }

  abort(): void {
    this.#ended = true;
    this.#call?.abort();
  }

  /**
   * Returns how the attempt timed out, or null while it makes progress in time. A resume mode that depends on
   * the failed engine gets half of the timeout, so that time is left for a replay.
   */
  checkProgress(nowMs: number, defaults: FleetDefaults): AttemptEndKind | null {
    if (this.#ended || this.#paused) {
      return null;
    }
    const idleMs = nowMs - this.#progressAtMs;
    if (this.#receivedToken) {
      return idleMs > defaults.tokenGapTimeoutMs ? AttemptEndKind.TokenGapTimeout : null;
    }
    if (this.#modes.length > 0 && idleMs > defaults.firstTokenTimeoutMs * resumeTimeoutShare) {
      this.#call?.abort();
      this.#progressAtMs = nowMs;
      this.start();
      return null;
    }
    return idleMs > defaults.firstTokenTimeoutMs ? AttemptEndKind.FirstTokenTimeout : null;
  }

  onHead(status: number, headers: IncomingHttpHeaders): void {
    const { link, attemptId, readNowMs } = this.#options;
    if (headers[headerNames.refusedBy] === "agent") {
      const stamp = headers[headerNames.stamp];
      if (typeof stamp === "string") {
        link.updateStamp(stamp, readNowMs());
      }
      this.#refusal = AttemptEndKind.AgentRefused;
      return;
    }
    if (status === 200) {
      this.#headAccepted = headers[headerNames.attemptId] === attemptId;
      if (!this.#headAccepted) {
        this.#failWithFault(StreamFault.ForeignResponse);
      }
      return;
    }
    if (status === cannotResumeStatus && this.#mode !== ResumeMode.Fresh) {
      this.#tryNextMode = true;
      return;
    }
    if (status === 429 || status === 503) {
      this.#refusal = AttemptEndKind.TargetOverloaded;
      return;
    }
    this.#rejected = status >= 400 && status < 500;
    this.#refusal = AttemptEndKind.TargetError;
  }

  onData(chunk: Buffer): void {
    if (!this.#headAccepted) {
      return;
    }
    let events: string[];
    try {
      events = this.#parser.push(chunk);
    } catch {
      this.#failWithFault(StreamFault.EventTooLarge);
      return;
    }
    for (const event of events) {
      const lastTokenIndex = this.#lastTokenIndex;
      const data = getEventData(event);
      if (data !== null) {
        this.#onEvent(parseStreamEvent(data, this.attemptId));
      }
      if (this.#ended) {
        return;
      }
      if (this.#lastTokenIndex === lastTokenIndex && !this.#otherEvents.take(1, this.#options.readNowMs())) {
        this.#failWithFault(StreamFault.TooManyEvents);
        return;
      }
    }
    this.#listener.onChunkEnd(this);
  }

  onEnd(): void {
    if (this.#ended) {
      return;
    }
    if (this.#tryNextMode) {
      this.#tryNextMode = false;
      this.start();
      return;
    }
    this.#ended = true;
    if (this.#rejected) {
      this.#listener.onRejected(this);
      return;
    }
    if (this.#refusal === null) {
      this.#listener.onFault(this, StreamFault.MissingFinalEvent);
    }
    this.#listener.onEnded(this, this.#refusal ?? AttemptEndKind.StreamBroken);
  }

  onError(written: boolean): void {
    if (this.#ended) {
      return;
    }
    this.#ended = true;
    this.#listener.onEnded(this, written ? AttemptEndKind.StreamBroken : AttemptEndKind.ConnectFailed);
  }

  #onEvent(event: StreamEvent): void {
    switch (event.kind) {
      case StreamEventKind.Token:
        this.#onToken(event.tokenIndex, event.tail, event.finishReason);
        return;
      case StreamEventKind.Final:
        this.#finalEvent = { reason: event.finishReason, tokenCount: event.tokenCount };
        if (event.cachedTokenCount !== null && this.#mode === ResumeMode.Fresh) {
          this.#listener.onCachedTokens(this, event.cachedTokenCount);
        }
        return;
      case StreamEventKind.Done:
        this.#onDone();
        return;
      case StreamEventKind.Error:
        this.#end(AttemptEndKind.TargetError);
        return;
      case StreamEventKind.Foreign:
        // The event is dropped. If it replaced a token of this attempt, the missing token ends the attempt.
        this.#listener.onFault(this, StreamFault.ForeignEvent);
        return;
      case StreamEventKind.Malformed:
        this.#failWithFault(StreamFault.MalformedEvent);
        return;
      case StreamEventKind.Empty:
    }
  }

  #onToken(tokenIndex: number, tail: string, finishReason: string | null): void {
    this.#receivedToken = true;
    if (tokenIndex > this.#lastTokenIndex) {
      this.#lastTokenIndex = tokenIndex;
      this.#progressAtMs = this.#options.readNowMs();
    }
    const { sentTokenCount, maxTokenCount } = this.#options;
    const position = tokenIndex + (this.#mode === ResumeMode.Replay ? sentTokenCount : 0);
    if (position >= maxTokenCount) {
      this.#failWithFault(StreamFault.TooManyTokens);
      return;
    }
    if (!this.#listener.onToken(this, position, tail)) {
      this.#end(AttemptEndKind.StreamBroken);
      return;
    }
    if (finishReason !== null) {
      this.#finalEvent = { reason: finishReason, tokenCount: null };
    }
  }

  #onDone(): void {
    if (this.#finalEvent === null) {
      this.#failWithFault(StreamFault.MissingFinalEvent);
      return;
    }
    this.#call?.finish();
    const { reason, tokenCount } = this.#finalEvent;
    const base = this.#mode === ResumeMode.Replay ? this.#options.sentTokenCount : 0;
    this.#ended = true;
    this.#listener.onCompleted(this, reason, tokenCount === null ? null : tokenCount + base);
  }

  #failWithFault(fault: StreamFault): void {
    this.#listener.onFault(this, fault);
    this.#end(AttemptEndKind.StreamBroken);
  }

  #end(end: AttemptEndKind): void {
    if (this.#ended) {
      return;
    }
    this.#listener.onChunkEnd(this);
    this.abort();
    this.#listener.onEnded(this, end);
  }
}
