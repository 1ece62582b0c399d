import type { ServerResponse } from "node:http";
import type { GatewayContext } from "./GatewayContext";
import { selectEndToEnd } from "./selectEndToEnd";

const framingNames = ["content-length", "transfer-encoding"];

/** Writes one answer to a caller. An answer that cannot be completed is cut off visibly. */
export class AnswerWriter {
  readonly #response: ServerResponse;
  readonly #context: GatewayContext;
  #isWaiting = false;

  constructor(response: ServerResponse, context: GatewayContext) {
    this.#response = response;
    this.#context = context;
    response.sendDate = false;
  }

  get hasStarted(): boolean {
    return this.#response.headersSent;
  }

  /** Delivers a target's whole answer unchanged. */
  sendWhole(status: number, headers: readonly string[], body: Buffer): void {
    const list = selectEndToEnd(headers);
    if (isFramed(headers)) {
      this.#writeHead(status, [...list, "Content-Length", String(body.length)]);
      this.#response.end(body);
    } else {
      this.begin(status, headers);
      this.#response.write(body);
      this.#response.end();
    }
  }

  /** Begins an answer whose length is not known yet. */
  begin(status: number, headers: readonly string[]): void {
    if (!isFramed(headers)) {
      // The end of such an answer cannot be told from a break, and must not look more certain than it is.
      this.#response.useChunkedEncodingByDefault = false;
      this.#response.shouldKeepAlive = false;
    }
    this.#writeHead(status, selectEndToEnd(headers));
    this.#response.flushHeaders();
  }

  /** Returns whether more may be written at once; otherwise `onDrain` is called later, for several writes once. */
  write(bytes: Buffer, onDrain: () => void): boolean {
    const isFree = this.#response.write(bytes);
    if (!isFree && !this.#isWaiting) {
      this.#isWaiting = true;
      this.#response.once("drain", () => {
        this.#isWaiting = false;
        onDrain();
      });
    }
    return isFree;
  }

  end(): void {
    this.#response.end();
  }

  /** Ends an answer so that the caller sees that it is not complete. */
  breakOff(): void {
    // Node sends what was written in the same turn only after it; a connection that is destroyed before loses it.
    setImmediate(() => {
      this.#response.destroy();
    });
  }

  /** Sends an answer of the gateway's own. */
  sendOwn(status: number, text: string, retryAfterMs: number | null): void {
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

/** Whether an answer says where it ends, other than by the end of its connection. */
function isFramed(headers: readonly string[]): boolean {
  return headers.some((name, at) => at % 2 === 0 && framingNames.includes(name.toLowerCase()));
}
