import type { ServerResponse } from "node:http";
import type { GatewayContext } from "./GatewayContext";
import { selectEndToEndHeaders } from "./selectEndToEndHeaders";

const framingNames = ["content-length", "transfer-encoding"];

/** Writes the response to one caller. A response that cannot be completed ends with a visible break. */
export class ResponseWriter {
  readonly #response: ServerResponse;
  readonly #context: GatewayContext;
  #isDrainPending = false;
  /** Whether the end of the connection is the end of the response. */
  #endsWithConnection = false;

  constructor(response: ServerResponse, context: GatewayContext) {
    this.#response = response;
    this.#context = context;
    response.sendDate = false;
  }

  get hasStarted(): boolean {
    return this.#response.headersSent;
  }

  /** Sends a target's complete response unchanged. */
  sendFull(status: number, headers: readonly string[], body: Buffer): void {
    const list = selectEndToEndHeaders(headers);
    if (isFramed(headers)) {
      this.#writeHead(status, [...list, "Content-Length", String(body.length)]);
      this.#response.end(body);
    } else {
      this.begin(status, headers);
      this.#response.write(body);
      this.#response.end();
    }
  }

  /** Starts a response whose length is not known yet. */
  begin(status: number, headers: readonly string[]): void {
    if (!isFramed(headers)) {
      // The end of such a response looks like a break of the connection; chunked framing would present a
      // break as a complete response.
      this.#endsWithConnection = true;
      this.#response.useChunkedEncodingByDefault = false;
      this.#response.shouldKeepAlive = false;
    }
    this.#writeHead(status, selectEndToEndHeaders(headers));
    this.#response.flushHeaders();
  }

  /**
   * Returns whether more may be written at once; otherwise `onDrain` is called later, once for several
   * writes.
   */
  write(bytes: Buffer, onDrain: () => void): boolean {
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
    this.#response.end();
  }

  /** Destroys the connection, so that the caller sees an incomplete response. */
  abort(): void {
    // Node flushes what was written in this turn only after the turn; destroying the connection earlier loses
    // it.
    setImmediate(() => {
      if (this.#endsWithConnection) {
        // A connection that is closed in order would present the response as complete.
        this.#response.socket?.resetAndDestroy();
      }
      this.#response.destroy();
    });
  }

  /** Sends a response that the gateway generates itself. */
  sendLocal(status: number, text: string, retryAfterMs: number | null): void {
    const body = Buffer.from(`${text}\n`);
    const headers = ["Content-Type", "text/plain", "Content-Length", String(body.length)];
    if (retryAfterMs !== null) {
      headers.push("Retry-After", (Math.ceil(retryAfterMs) / 1000).toString());
    }
    this.#writeHead(status, headers);
    this.#response.end(body);
  }

  #writeHead(status: number, headers: string[]): void {
    if (this.#context.getStopWindow() !== null) {
      headers.push("Connection", "close");
    }
    this.#response.writeHead(status, headers);
  }
}

/** Whether a response states its end other than by closing the connection. */
function isFramed(headers: readonly string[]): boolean {
  return headers.some((name, at) => at % 2 === 0 && framingNames.includes(name.toLowerCase()));
}
