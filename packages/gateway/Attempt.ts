import { BodyCollector } from "@clementinemux/wire/BodyCollector";
import { estimateHeaderBytes } from "@clementinemux/wire/estimateHeaderBytes";
import type { AttemptOptions } from "./AttemptOptions";
import { CallFailure } from "./CallFailure";
import { EventDelivery } from "./EventDelivery";
import { StreamProgress } from "./StreamProgress";
import type { RelayedEvent } from "./RelayedEvent";
import { StallTimer } from "./StallTimer";
import type { TargetResponse } from "./TargetResponse";
import { TargetCall } from "./TargetCall";
import { bodilessStatuses } from "./bodilessStatuses";
import { findHeader } from "./findHeader";

/** Limit for buffering a response that is not a stream; a larger one ends the attempt. */
const maxBufferedBytes = 16_777_216;
/** An event longer than this cannot be part of a valid stream. */
const maxEventBytes = 262_144;

/**
 * One attempt of a request at one target. Classifies the response: complete, stream, rejection or failure.
 */
export class Attempt {
  readonly #options: AttemptOptions;
  readonly #body = new BodyCollector();
  readonly #delivery: EventDelivery;
  readonly #progress: StreamProgress;
  readonly #stallTimer: StallTimer | null;
  #call: TargetCall | null = null;
  #response: TargetResponse | null = null;
  #headers: readonly string[] = [];
  #isStream = false;
  /** Memory of the head, which is kept until the end of the response. */
  #headBytes = 0;
  #heldBytes = 0;
  #hasStarted = false;
  #isPaused = false;
  #isCallPaused = false;
  #isDone = false;

  constructor(options: AttemptOptions) {
    this.#options = options;
    const { call, clock, turns, stallTimeoutMs } = options;
    this.#delivery = new EventDelivery({
      clock,
      turns,
      guard: call.guard,
      onEvents: (events) => {
        this.#onEvents(events);
      },
      onTurnEnd: () => {
        this.#onTurnEnd();
      },
    });
    this.#progress = new StreamProgress(stallTimeoutMs);
    const onStalled = (): void => {
      call.guard(() => {
        this.#onStalled();
      });
    };
    this.#stallTimer =
      stallTimeoutMs === null ? null : new StallTimer({ limitMs: stallTimeoutMs, onStalled });
  }

  get targetId(): string {
    return this.#options.targetId;
  }

  get isSent(): boolean {
    return this.#call?.isSent ?? false;
  }

  start(): void {
    this.#call = new TargetCall(this.#options.call, {
      onResponse: (response, headers) => {
        this.#onResponse(response, headers);
      },
      onData: (chunk) => {
        this.#onData(chunk);
      },
      onEnd: () => {
        this.#onEnd();
      },
      onFailure: (failure, detail) => {
        this.#delivery.flush();
        this.#fail(failure, detail);
      },
    });
  }

  cancel(): void {
    if (!this.#isDone) {
      this.#release();
      this.#call?.cancel();
    }
  }

  /** Incomplete responses hold more than they may together, and this one holds the most. */
  drop(): void {
    this.#options.call.guard(() => {
      this.#failTooLarge(`${this.#heldBytes} bytes are the largest part of what incomplete responses hold`);
    });
  }

  pause(): void {
    this.#isPaused = true;
    this.#stallTimer?.stop();
    this.#delivery.pause();
    this.#updateCall();
  }

  resume(): void {
    this.#isPaused = false;
    this.#restartStallTimer();
    this.#delivery.resume();
    this.#updateCall();
  }

  /** Reads the response unless its caller does not read, or what was read has not been delivered. */
  #updateCall(): void {
    const isCallPaused = this.#isPaused || this.#delivery.isHolding;
    if (isCallPaused === this.#isCallPaused) {
      return;
    }
    this.#isCallPaused = isCallPaused;
    if (isCallPaused) {
      this.#call?.pause();
    } else {
      this.#call?.resume();
    }
  }

  #onResponse(response: TargetResponse, headers: readonly string[]): void {
    this.#options.onResponse(response);
    if (response.status < 300 && !response.isSigned) {
      this.#call?.cancel();
      this.#fail(CallFailure.Malformed, "successful response without a target's signature");
      return;
    }
    this.#response = response;
    this.#headers = headers;
    this.#isStream = this.#options.isStream && response.status === 200 && isEventStream(headers);
    this.#restartStallTimer();
    this.#headBytes = estimateHeaderBytes(headers);
    const { method } = this.#options.call;
    this.#checkAnnounced(this.#isStream ? 0 : readBodyBytes(method, response.status, headers));
  }

  /** Ends an attempt whose response is known to be too large, else notes its head. */
  #checkAnnounced(bodyBytes: number): void {
    if (bodyBytes > Math.min(maxBufferedBytes, this.#options.responses.limitBytes)) {
      this.#failTooLarge(`a body of ${bodyBytes} bytes exceeds the buffer limit`);
    } else {
      this.#noteHeld(this.#headBytes);
    }
  }

  #restartStallTimer(): void {
    if (this.#isStream && !this.#isPaused && !this.#isDone) {
      this.#stallTimer?.restart();
    }
  }

  #onData(chunk: Buffer): void {
    this.#options.onPiece(chunk.length);
    if (!this.#isStream) {
      this.#body.add(chunk);
      this.#limitBytes(this.#body, maxBufferedBytes);
      return;
    }
    this.#delivery.add(chunk);
    this.#updateCall();
  }

  #onEvents(events: readonly RelayedEvent[]): void {
    this.#startStream();
    const newEvents = this.#options.onEvents(events);
    if (this.#progress.note(events, newEvents)) {
      this.#restartStallTimer();
    } else if (this.#progress.hasTooManyEvents) {
      this.#failStalled("events without anything new");
    }
  }

  #onTurnEnd(): void {
    const { pendingBytes, heldBytes } = this.#delivery;
    this.#limitBytes({ sizeBytes: pendingBytes, heldBytes }, maxEventBytes);
    this.#updateCall();
  }

  /** What was read and has not been delivered yet is no standstill of the target. */
  #onStalled(): void {
    if (this.#delivery.isHolding) {
      this.#restartStallTimer();
    } else {
      this.#failStalled("no event");
    }
  }

  #failStalled(cause: string): void {
    this.#call?.cancel();
    this.#fail(CallFailure.Stalled, `${cause} within ${this.#options.stallTimeoutMs} ms`);
  }

  /** Ends an attempt whose buffered response exceeds its limit, and notes what it holds of the memory for all. */
  #limitBytes(
    { sizeBytes, heldBytes }: Pick<BodyCollector, "sizeBytes" | "heldBytes">,
    maxBytes: number,
  ): void {
    if (this.#isDone) {
      return;
    }
    if (sizeBytes > maxBytes) {
      this.#failTooLarge(`${sizeBytes} bytes exceed the buffer limit`);
    } else {
      this.#noteHeld(this.#headBytes + heldBytes);
    }
  }

  #noteHeld(bytes: number): void {
    if (bytes === this.#heldBytes) {
      return;
    }
    this.#heldBytes = bytes;
    if (bytes === 0) {
      this.#options.responses.remove(this);
    } else {
      this.#options.responses.note(this, bytes);
    }
  }

  #failTooLarge(detail: string): void {
    this.#call?.cancel();
    this.#fail(CallFailure.TooLarge, detail);
  }

  #onEnd(): void {
    if (this.#isStream) {
      this.#delivery.end(() => {
        this.#finish();
      });
    } else {
      this.#finish();
    }
  }

  #finish(): void {
    const response = this.#response;
    if (this.#isDone || response === null) {
      return;
    }
    const { onNotRun, onStreamEnd, onFullResponse } = this.#options;
    const body = this.#body.take();
    if (this.#isStream && this.#delivery.pendingBytes > 0) {
      this.#fail(CallFailure.Broken, "stream ended within an event");
      return;
    }
    this.#release();
    if (response.isNotRun || response.isMisdirected) {
      onNotRun(response.faultyTarget);
    } else if (this.#isStream) {
      this.#startStream();
      onStreamEnd();
    } else {
      onFullResponse(response.status, this.#headers, body);
    }
  }

  #startStream(): void {
    if (!this.#hasStarted) {
      this.#hasStarted = true;
      this.#options.onStreamStart(this.#response?.status ?? 200, this.#headers);
    }
  }

  #fail(failure: CallFailure, detail: string): void {
    if (this.#isDone) {
      return;
    }
    const isSent = this.isSent && this.#response?.isNotRun !== true;
    this.#release();
    this.#options.onFailure(failure, isSent, detail);
  }

  #release(): void {
    this.#isDone = true;
    this.#stallTimer?.stop();
    this.#body.clear();
    this.#delivery.cancel();
    this.#options.responses.remove(this);
    this.#options.onReleased();
  }
}

function isEventStream(headers: readonly string[]): boolean {
  return headers.some(
    (name, at) =>
      at % 2 === 0 &&
      name.toLowerCase() === "content-type" &&
      (headers[at + 1] ?? "").toLowerCase().startsWith("text/event-stream"),
  );
}

/** Size that a response announces for its body; 0 for none. */
function readBodyBytes(method: string, status: number, headers: readonly string[]): number {
  const isBodiless = method === "HEAD" || bodilessStatuses.has(status);
  return isBodiless ? 0 : Number(findHeader(headers, "content-length") ?? 0);
}
