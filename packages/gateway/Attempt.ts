import { BodyCollector } from "@clementinemux/wire/BodyCollector";
import { estimateHeaderBytes } from "@clementinemux/wire/estimateHeaderBytes";
import type { AttemptOptions } from "./AttemptOptions";
import { CallFailure } from "./CallFailure";
import { EventSplitter } from "./EventSplitter";
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
  readonly #splitter = new EventSplitter();
  readonly #stallTimer: StallTimer | null;
  #call: TargetCall | null = null;
  #response: TargetResponse | null = null;
  #headers: readonly string[] = [];
  #isStream = false;
  /** Memory of the head, while it is kept for the end of the response. */
  #headBytes = 0;
  #heldBytes = 0;
  #hasStarted = false;
  #isPaused = false;
  #isDone = false;

  constructor(options: AttemptOptions) {
    this.#options = options;
    const { stallTimeoutMs } = options;
    const onStalled = (): void => {
      options.call.guard(() => {
        this.#call?.cancel();
        this.#fail(CallFailure.Stalled, `no event within ${stallTimeoutMs} ms`);
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
    this.#call?.pause();
  }

  resume(): void {
    this.#isPaused = false;
    this.#restartStallTimer();
    this.#call?.resume();
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
    if (!this.#isStream) {
      this.#headBytes = estimateHeaderBytes(headers);
      this.#checkAnnounced(readBodyBytes(this.#options.call.method, response.status, headers));
    }
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
    this.#splitter.add(chunk);
    for (let event = this.#splitter.next(); event !== null; event = this.#splitter.next()) {
      if (event.hasData) {
        this.#restartStallTimer();
      }
      this.#startStream();
      this.#options.onEvent(event.bytes, event.id);
    }
    const { pendingBytes, heldBytes } = this.#splitter;
    this.#limitBytes({ sizeBytes: pendingBytes, heldBytes }, maxEventBytes);
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
    if (bytes !== this.#heldBytes) {
      this.#heldBytes = bytes;
      this.#options.responses.note(this, bytes);
    }
  }

  #failTooLarge(detail: string): void {
    this.#call?.cancel();
    this.#fail(CallFailure.TooLarge, detail);
  }

  #onEnd(): void {
    const response = this.#response;
    if (this.#isDone || response === null) {
      return;
    }
    const { onNotRun, onStreamEnd, onFullResponse } = this.#options;
    const body = this.#body.take();
    if (this.#isStream && this.#splitter.pendingBytes > 0) {
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
    this.#splitter.clear();
    this.#options.responses.remove(this);
    this.#options.onReleased();
  }
}

function isEventStream(headers: readonly string[]): boolean {
  return findHeader(headers, "content-type")?.toLowerCase().startsWith("text/event-stream") ?? false;
}

/** Size that a response announces for its body; 0 for none. */
function readBodyBytes(method: string, status: number, headers: readonly string[]): number {
  const isBodiless = method === "HEAD" || bodilessStatuses.has(status);
  return isBodiless ? 0 : Number(findHeader(headers, "content-length") ?? 0);
}
