import type { ServerResponse } from "node:http";
import { CollectedBody } from "./CollectedBody";
import type { GatewayContext } from "./GatewayContext";
import { bodilessStatuses } from "./bodilessStatuses";
import { findHeader } from "./findHeader";
import { selectEndToEndHeaders } from "./selectEndToEndHeaders";

const badGatewayStatus = 502;
/** Responses with this status state no length. */
const noContentStatus = 204;
/** With less time left, a caller could read hardly anything more. */
const minAbortMs = 20;
/** Longest time for a caller to read what was written before its response broke off. */
const maxAbortMs = 1000;
/** Time for which the rest of a request is discarded after an early response. */
const lingerMs = 500;

interface CollectedResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: CollectedBody;
}

/**
 * Writes the response to one caller, always with a length or in chunks: a response that cannot be completed then ends
 * with a visible break, also when the process is killed.
 */
export class ResponseWriter {
  readonly #response: ServerResponse;
  readonly #context: GatewayContext;
  readonly #onTooLarge: () => void;
  #isDrainPending = false;
  /** Stream to a caller of HTTP/1.0, which knows no chunks: sent as a whole, with its length; null for any other. */
  #collected: CollectedResponse | null = null;

  /** `onTooLarge` is called when a response is too large to be collected; it is to be aborted then. */
  constructor(response: ServerResponse, context: GatewayContext, onTooLarge: () => void = () => undefined) {
    this.#response = response;
    this.#context = context;
    this.#onTooLarge = onTooLarge;
    response.sendDate = false;
  }

  get hasStarted(): boolean {
    return this.#response.headersSent || this.#collected !== null;
  }

  /** Sends a target's complete response unchanged. */
  sendFull(status: number, headers: readonly string[], body: Buffer): void {
    const list = selectEndToEndHeaders(headers);
    const isBodiless = this.#response.req.method === "HEAD" || bodilessStatuses.has(status);
    const length = isBodiless ? findStatedLength(status, headers) : String(body.length);
    this.#writeHead(status, length === null ? list : [...list, "Content-Length", length]);
    this.#response.end(body);
    this.#context.unread.add(this.#response, body.length);
  }

  /** Starts a response whose length is not known yet. */
  begin(status: number, headers: readonly string[]): void {
    if (isBeforeHttp11(this.#response)) {
      const body = new CollectedBody(this.#context.byteBudget.responses, this.#onTooLarge);
      this.#response.once("close", () => {
        body.release();
      });
      this.#collected = { status, headers, body };
      return;
    }
    this.#writeHead(status, selectEndToEndHeaders(headers));
    this.#response.flushHeaders();
  }

  /**
   * Returns whether more may be written at once; otherwise `onDrain` is called later, once for several
   * writes.
   */
  write(bytes: Buffer, onDrain: () => void): boolean {
    if (this.#collected !== null) {
      this.#collected.body.add(bytes);
      return true;
    }
    const canContinue = this.#response.write(bytes);
    if (!canContinue && !this.#isDrainPending) {
      this.#isDrainPending = true;
      this.#response.once("drain", () => {
        this.#isDrainPending = false;
        onDrain();
      });
    }
    return canContinue;
  }

  end(): void {
    if (this.#collected === null) {
      this.#response.end();
      return;
    }
    const { status, headers, body } = this.#collected;
    this.sendFull(status, headers, body.take());
  }

  /**
   * Ends the response so that the caller sees it as incomplete, after what was written. A caller that reads slowly gets
   * up to `leftMs` for that.
   */
  abort(leftMs: number): void {
    const { socket } = this.#response;
    if (this.#collected !== null) {
      const { isTooLarge } = this.#collected.body;
      const text = isTooLarge ? "the response is too large for HTTP/1.0" : "the response broke off";
      this.sendLocal(badGatewayStatus, text, null);
      return;
    }
    if (socket === null || leftMs < minAbortMs) {
      // The response waits for those to earlier requests of the connection, or its caller has no time left. What was
      // written in this turn is flushed after it.
      setImmediate(() => this.#response.destroy());
      return;
    }
    // What was written is still sent; the missing end of the body shows the break.
    socket.destroySoon();
    const timer = setTimeout(() => socket.destroy(), Math.min(leftMs, maxAbortMs));
    socket.once("close", () => {
      clearTimeout(timer);
    });
  }

  /** Sends a response that the gateway generates itself. */
  sendLocal(status: number, text: string, retryAfterMs: number | null): void {
    this.#writeLocal(status, text, retryAfterMs, []);
    this.#response.end();
  }

  /**
   * Sends a response that the gateway generates itself before the request was read as a whole. The rest is discarded for a
   * moment, since closing a connection with unread bytes would keep the response from its caller.
   */
  sendEarly(status: number, text: string, retryAfterMs: number | null): void {
    const { req } = this.#response;
    const end = (): void => {
      clearTimeout(timer);
      this.#response.end();
    };
    const timer = setTimeout(end, lingerMs);
    this.#response.once("close", () => {
      clearTimeout(timer);
    });
    req.once("end", end);
    this.#writeLocal(status, text, retryAfterMs, ["Connection", "close"]);
  }

  #writeLocal(status: number, text: string, retryAfterMs: number | null, headers: readonly string[]): void {
    const body = Buffer.from(`${text}\n`);
    const list = ["Content-Type", "text/plain", "Content-Length", String(body.length), ...headers];
    if (retryAfterMs !== null) {
      list.push("Retry-After", (Math.ceil(retryAfterMs) / 1000).toString());
    }
    this.#writeHead(status, list);
    this.#response.write(body);
  }

  #writeHead(status: number, headers: string[]): void {
    if (this.#context.getStopWindow() !== null && !headers.includes("Connection")) {
      headers.push("Connection", "close");
    }
    this.#response.writeHead(status, headers);
  }
}

function isBeforeHttp11({ req }: ServerResponse): boolean {
  return req.httpVersionMajor < 1 || (req.httpVersionMajor === 1 && req.httpVersionMinor < 1);
}

/** Length that a response without a body states for the body that it stands for; null for none. */
function findStatedLength(status: number, headers: readonly string[]): string | null {
  return status === noContentStatus ? null : findHeader(headers, "content-length");
}
