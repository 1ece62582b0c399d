import type { AttemptOptions } from "./AttemptOptions";
import { CallFailure } from "./CallFailure";
import { EventSplitter } from "./EventSplitter";
import type { TargetAnswer } from "./TargetAnswer";
import { TargetCall } from "./TargetCall";

/** Answers up to this size are held until they are complete; a larger one ends the attempt. */
const maxWholeBytes = 16_777_216;
/** An event longer than this cannot be part of a sound stream. */
const maxEventBytes = 1_048_576;

/** One attempt of a request at one target. Sorts the answer into a whole one, a stream, a refusal or a failure. */
export class Attempt {
  readonly #options: AttemptOptions;
  readonly #splitter = new EventSplitter();
  #call: TargetCall | null = null;
  #answer: TargetAnswer | null = null;
  #headers: readonly string[] = [];
  #chunks: Buffer[] = [];
  #sizeBytes = 0;
  #isStream = false;
  #hasBegun = false;
  #isDone = false;

  constructor(options: AttemptOptions) {
    this.#options = options;
  }

  get targetId(): string {
    return this.#options.targetId;
  }

  get isSent(): boolean {
    return this.#call?.isSent ?? false;
  }

  start(): void {
    this.#call = new TargetCall(this.#options.call, {
      onAnswer: (answer, headers) => {
        this.#onAnswer(answer, headers);
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

  pause(): void {
    this.#call?.pause();
  }

  resume(): void {
    this.#call?.resume();
  }

  #onAnswer(answer: TargetAnswer, headers: readonly string[]): void {
    this.#options.onAnswer(answer);
    if (answer.status < 300 && !answer.isSigned) {
      this.#call?.cancel();
      this.#fail(CallFailure.Malformed, "a success that no target has signed");
      return;
    }
    this.#answer = answer;
    this.#headers = headers;
    this.#isStream = this.#options.isStream && answer.status === 200 && isEventStream(headers);
  }

  #onData(chunk: Buffer): void {
    if (!this.#isStream) {
      this.#sizeBytes += chunk.length;
      this.#chunks.push(chunk);
      if (this.#sizeBytes > maxWholeBytes) {
        this.#call?.cancel();
        this.#fail(CallFailure.Malformed, `answer of more than ${maxWholeBytes} bytes`);
      }
      return;
    }
    for (const { bytes, id } of this.#splitter.push(chunk)) {
      this.#begin();
      this.#options.onEvent(bytes, id);
    }
    if (this.#splitter.pendingBytes > maxEventBytes) {
      this.#call?.cancel();
      this.#fail(CallFailure.Malformed, `event of more than ${maxEventBytes} bytes`);
    }
  }

  #onEnd(): void {
    const answer = this.#answer;
    if (this.#isDone || answer === null) {
      return;
    }
    const { onNotRun, onComplete, onWhole } = this.#options;
    if (this.#isStream && this.#splitter.pendingBytes > 0) {
      this.#fail(CallFailure.Broken, "the stream ended within an event");
      return;
    }
    this.#release();
    if (answer.isNotRun || answer.isMisdirected) {
      onNotRun(answer.faultyTarget);
    } else if (this.#isStream) {
      this.#begin();
      onComplete();
    } else {
      onWhole(answer.status, this.#headers, Buffer.concat(this.#chunks));
    }
  }

  #begin(): void {
    if (!this.#hasBegun) {
      this.#hasBegun = true;
      this.#options.onBegin(this.#answer?.status ?? 200, this.#headers);
    }
  }

  #fail(failure: CallFailure, detail: string): void {
    if (this.#isDone) {
      return;
    }
    const isSent = this.isSent && this.#answer?.isNotRun !== true;
    this.#release();
    this.#options.onFailure(failure, isSent, detail);
  }

  #release(): void {
    this.#isDone = true;
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
