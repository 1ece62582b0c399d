import { request as sendRequest } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import { CallFailure } from "./CallFailure";
import type { TargetCallListener } from "./TargetCallListener";
import type { TargetCallOptions } from "./TargetCallOptions";

const connectTimeoutMs = 400;
/** Head of an answer, trailers included. */
const maxHeadBytes = 16_384;
/** Provisional answers before the final one; a sound target sends one at most. */
const maxProvisional = 8;
/** Bytes of a body's framing before more of the body; Node reads the digits of a chunk's size without a bound. */
const maxFramingBytes = 65_536;

/** One request on its way to a target, and its answer. */
export class TargetCall {
  readonly #options: TargetCallOptions;
  readonly #listener: TargetCallListener;
  readonly #request: ClientRequest;
  #response: IncomingMessage | null = null;
  #isConnected = false;
  #isDone = false;
  #provisional = 0;
  /** Bytes read since the body last went on. */
  #framingBytes = 0;
  #timer: NodeJS.Timeout;

  constructor(options: TargetCallOptions, listener: TargetCallListener) {
    this.#options = options;
    this.#listener = listener;
    const { host, port, agent, method, path, headers, body, answerTimeoutMs, requestId } = options;
    this.#request = sendRequest({
      host,
      port,
      // An answer that bears no id could be a late copy of another one, so it gets a connection of its own.
      agent: requestId === null ? false : (agent ?? false),
      method,
      path,
      headers: headers as unknown as Record<string, string>,
      setHost: false,
      maxHeaderSize: maxHeadBytes,
    });
    this.#timer = setTimeout(
      () => {
        this.#fail(CallFailure.NotConnected, `no connection within ${connectTimeoutMs} ms`);
      },
      Math.min(connectTimeoutMs, answerTimeoutMs),
    );
    this.#request.on("socket", (socket) => {
      if (socket.connecting) {
        socket.setNoDelay(true);
        socket.once("connect", () => {
          this.#onConnected();
        });
      } else {
        this.#onConnected();
      }
    });
    this.#request.on("information", () => {
      this.#provisional += 1;
      if (this.#provisional > maxProvisional) {
        this.#fail(CallFailure.TooLarge, "provisional answers without an end");
      }
    });
    this.#request.on("response", (response) => {
      this.#onResponse(response);
    });
    this.#request.on("error", (error: NodeJS.ErrnoException) => {
      this.#fail(this.#getFailure(error), error.message);
    });
    this.#request.end(body);
  }

  /** Whether any byte may have reached the target. */
  get isSent(): boolean {
    return this.#isConnected;
  }

  /** Ends the call without telling the listener; the target sees its connection close. */
  cancel(): void {
    this.#finish();
    this.#request.destroy();
  }

  pause(): void {
    this.#response?.pause();
  }

  resume(): void {
    this.#response?.resume();
  }

  #onConnected(): void {
    if (this.#isDone) {
      return;
    }
    this.#isConnected = true;
    const { answerTimeoutMs } = this.#options;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      this.#fail(CallFailure.Silent, `no answer within ${answerTimeoutMs} ms`);
    }, answerTimeoutMs);
  }

  #onResponse(response: IncomingMessage): void {
    if (this.#isDone) {
      response.resume();
      return;
    }
    clearTimeout(this.#timer);
    this.#response = response;
    const { codec, requestId } = this.#options;
    const answer = codec.readAnswer(response.statusCode ?? 0, response.rawHeaders);
    // A misdirected answer may come without an id; one with another request's id is a late copy.
    const isAnonymousRefusal = answer.isMisdirected && answer.requestId === null;
    const isForeign = requestId !== null && answer.requestId !== requestId;
    if (isForeign && !isAnonymousRefusal) {
      this.#fail(CallFailure.ForeignAnswer, `answer to request ${answer.requestId ?? "without id"}`);
      return;
    }
    response.on("data", (chunk: Buffer) => {
      if (!this.#isDone) {
        this.#listener.onData(chunk);
      }
    });
    response.on("end", () => {
      if (!this.#isDone) {
        this.#finish();
        this.#listener.onEnd();
      }
    });
    response.on("error", (error) => {
      this.#fail(CallFailure.Broken, error.message);
    });
    response.on("close", () => {
      this.#fail(CallFailure.Broken, "connection closed before the end of the answer");
    });
    this.#limitFraming(response);
    this.#listener.onAnswer(answer, response.rawHeaders);
  }

  /** Ends a call whose connection goes on without any byte of the body. */
  #limitFraming(response: IncomingMessage): void {
    const { socket } = response;
    let hasBody = false;
    response.on("data", () => {
      hasBody = true;
    });
    // Called for the same bytes after the parser, so that what they hold of the body has been seen.
    const onBytes = ({ length }: Buffer): void => {
      this.#framingBytes = hasBody || response.readableLength > 0 ? 0 : this.#framingBytes + length;
      hasBody = false;
      if (this.#framingBytes > maxFramingBytes) {
        this.#fail(CallFailure.TooLarge, "framing of a body without an end");
      }
    };
    socket.on("data", onBytes);
    response.once("end", () => {
      socket.off("data", onBytes);
    });
  }

  #getFailure({ code = "" }: NodeJS.ErrnoException): CallFailure {
    if (!this.#isConnected) {
      return CallFailure.NotConnected;
    }
    return code.startsWith("HPE_") ? CallFailure.Malformed : CallFailure.Broken;
  }

  #fail(failure: CallFailure, detail: string): void {
    if (this.#isDone) {
      return;
    }
    this.#finish();
    this.#request.destroy();
    this.#listener.onFailure(failure, detail);
  }

  #finish(): void {
    this.#isDone = true;
    clearTimeout(this.#timer);
  }
}
