import { request as sendRequest } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { ResponseFeeder } from "@clementinemux/wire/ResponseFeeder";
import { findResponseFault } from "@clementinemux/wire/findResponseFault";
import { onHiddenReset } from "@clementinemux/wire/onHiddenReset";
import { CallFailure } from "./CallFailure";
import type { TargetCallListener } from "./TargetCallListener";
import type { TargetCallOptions } from "./TargetCallOptions";

const connectTimeoutMs = 400;
/** Limit for the head of a response, including trailers. */
const maxHeadBytes = 16_384;
/** Limit for provisional (1xx) responses before the final one; a healthy target sends at most one. */
const maxProvisional = 8;
/** Node's code for a connection that ends within the head of a response. */
const endWithinHeadCode = "HPE_INVALID_EOF_STATE";

/** One request in flight to a target, and its response. */
export class TargetCall {
  readonly #options: TargetCallOptions;
  readonly #listener: TargetCallListener;
  readonly #request: ClientRequest;
  readonly #feeder: ResponseFeeder;
  #isConnected = false;
  #isDone = false;
  #provisional = 0;
  #timer: NodeJS.Timeout;

  constructor(options: TargetCallOptions, listener: TargetCallListener) {
    this.#options = options;
    this.#listener = listener;
    const { host, port, connectionPool, method, path, headers, body, responseTimeoutMs, requestId } = options;
    this.#request = sendRequest({
      host,
      port,
      // A response without an id could be a late copy of another one, so a request without an id gets its own
      // connection.
      agent: requestId === null ? false : (connectionPool ?? false),
      method,
      path,
      headers: headers as unknown as Record<string, string>,
      setHost: false,
      maxHeaderSize: maxHeadBytes,
    });
    this.#timer = this.#startTimer(
      CallFailure.NotConnected,
      "connection",
      Math.min(connectTimeoutMs, responseTimeoutMs),
    );
    this.#request.on(
      "socket",
      this.#guarded((socket: Socket) => {
        if (socket.connecting) {
          socket.setNoDelay(true);
          socket.once(
            "connect",
            this.#guarded(() => {
              this.#onConnected();
            }),
          );
        } else {
          this.#onConnected();
        }
      }),
    );
    this.#request.on(
      "information",
      this.#guarded(() => {
        this.#provisional += 1;
        if (this.#provisional > maxProvisional) {
          this.#fail(CallFailure.TooLarge, "too many provisional responses");
        }
      }),
    );
    this.#request.on(
      "response",
      this.#guarded((response: IncomingMessage) => {
        this.#onResponse(response);
      }),
    );
    this.#request.on(
      "error",
      this.#guarded((error: NodeJS.ErrnoException) => {
        this.#fail(this.#getFailure(error), error.message);
      }),
    );
    this.#feeder = new ResponseFeeder(
      this.#request,
      this.#guarded((detail: string) => {
        this.#fail(CallFailure.TooLarge, detail);
      }),
    );
    this.#request.end(body);
  }

  /** Whether any byte may have reached the target. */
  get isSent(): boolean {
    return this.#isConnected;
  }

  /** Ends the call without notifying the listener; the target sees its connection close. */
  cancel(): void {
    this.#finish();
    this.#request.destroy();
  }

  pause(): void {
    this.#feeder.pause();
  }

  resume(): void {
    this.#feeder.resume();
  }

  #onConnected(): void {
    if (this.#isDone) {
      return;
    }
    this.#isConnected = true;
    const { responseTimeoutMs } = this.#options;
    clearTimeout(this.#timer);
    this.#timer = this.#startTimer(CallFailure.ResponseTimeout, "response", responseTimeoutMs);
  }

  #startTimer(failure: CallFailure, awaited: string, timeoutMs: number): NodeJS.Timeout {
    return setTimeout(() => {
      this.#options.guard(() => {
        this.#fail(failure, `no ${awaited} within ${timeoutMs} ms`);
      });
    }, timeoutMs);
  }

  /** Runs an event handler so that an exception ends the request only. */
  #guarded<Args extends unknown[]>(handler: (...args: Args) => void): (...args: Args) => void {
    return (...args) => {
      this.#options.guard(() => {
        handler(...args);
      });
    };
  }

  #onResponse(response: IncomingMessage): void {
    if (this.#isDone) {
      response.resume();
      return;
    }
    clearTimeout(this.#timer);
    const fault = findResponseFault(response);
    if (fault !== null) {
      this.#fail(CallFailure.Malformed, fault);
      return;
    }
    const { codec, requestId } = this.#options;
    const targetResponse = codec.readResponse(response.statusCode ?? 0, response.rawHeaders);
    // A misdirected response may have no id; on a kept connection it may be a late copy, as one with another request's id.
    const { isMisdirected } = targetResponse;
    const isMisdirectedWithoutId =
      isMisdirected && targetResponse.requestId === null && !this.#request.reusedSocket;
    const isForeign = requestId !== null && targetResponse.requestId !== requestId;
    if (isForeign && !isMisdirectedWithoutId) {
      this.#fail(
        CallFailure.ForeignResponse,
        `response to request ${targetResponse.requestId ?? "without id"}`,
      );
      return;
    }
    response.on(
      "data",
      this.#guarded((chunk: Buffer) => {
        if (!this.#isDone) {
          this.#listener.onData(chunk);
        }
      }),
    );
    response.on(
      "end",
      this.#guarded(() => {
        if (!this.#isDone) {
          this.#finish();
          this.#listener.onEnd();
        }
      }),
    );
    response.on(
      "error",
      this.#guarded((error: Error) => {
        this.#fail(CallFailure.Broken, error.message);
      }),
    );
    response.on(
      "close",
      this.#guarded(() => {
        this.#fail(CallFailure.Broken, "connection closed before the end of the response");
      }),
    );
    onHiddenReset(
      response,
      this.#guarded(() => {
        this.#fail(CallFailure.Broken, "connection reset");
      }),
    );
    this.#listener.onResponse(targetResponse, response.rawHeaders);
  }

  #getFailure({ code = "" }: NodeJS.ErrnoException): CallFailure {
    if (!this.#isConnected) {
      return CallFailure.NotConnected;
    }
    return code.startsWith("HPE_") && code !== endWithinHeadCode ? CallFailure.Malformed : CallFailure.Broken;
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
