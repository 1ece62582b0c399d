import type { Socket } from "node:net";
import type { Client, Dispatcher } from "undici";
import { FramingLimit } from "@clementinemux/wire/FramingLimit";
import { PieceAllowance } from "@clementinemux/wire/PieceAllowance";
import type { TargetLink } from "./TargetLink";
import { findHeadFault } from "./findHeadFault";
import { onRequestSocket } from "./onRequestSocket";
import type { UpstreamListener } from "./UpstreamListener";

interface UpstreamCallOptions {
  readonly link: TargetLink;
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | string | null;
  /** Whether the request may run twice. If not, it is sent over a separate, new connection. */
  readonly repeatable: boolean;
  /** Called immediately before the first byte is written. If it returns false, the request is not written. */
  readonly mayWrite: () => boolean;
}

/** Limits on what follows the needed part of a response: framing, or output of a target that cleans up. */
const maxTrailingBytes = 65_536;
const trailingTimeoutMs = 1000;

/**
 * One HTTP exchange with an agent. The HTTP library never retries it. A failure has `written` false only if
 * no byte of the request was written.
 */
export class UpstreamCall {
  readonly #listener: UpstreamListener;
  readonly #pieces = new PieceAllowance();
  #freshClient: Client | null = null;
  #controller: Dispatcher.DispatchController | null = null;
  #stopWatching: () => void = () => undefined;
  /** Bytes of the body since the framing was last checked. */
  #newBodyBytes = 0;
  #written = false;
  #closed = false;
  /** Bytes received after `finish`; null before. */
  #trailingBytes: number | null = null;
  #trailingTimer: NodeJS.Timeout | undefined;

  constructor(options: UpstreamCallOptions, listener: UpstreamListener) {
    this.#listener = listener;
    const { link, method, path, headers, body, repeatable } = options;
    if (!repeatable) {
      this.#freshClient = link.createFreshClient();
    }
    const dispatcher = this.#freshClient ?? link.pool;
    try {
      dispatcher.dispatch(
        { method, path, headers, body, idempotent: false, headersTimeout: 0, bodyTimeout: 0 },
        this.#createHandler(options.mayWrite),
      );
    } catch (error) {
      queueMicrotask(() => {
        this.#fail(error);
      });
    }
  }

  get written(): boolean {
    return this.#written;
  }

  pause(): void {
    this.#controller?.pause();
  }

  resume(): void {
    this.#controller?.resume();
  }

  /**
   * Nothing more of the response is needed, so the listener receives no further events. The connection is
   * kept if the response ends soon, and closed otherwise.
   */
  finish(): void {
    if (this.#closed || this.#trailingBytes !== null) {
      return;
    }
    this.#trailingBytes = 0;
    this.#trailingTimer = setTimeout(() => {
      this.abort();
    }, trailingTimeoutMs);
    this.#trailingTimer.unref();
  }

  /** Ends the exchange and closes its connection. The listener receives no further events. */
  abort(): void {
    if (this.#closed) {
      return;
    }
    this.#close();
    this.#controller?.abort(new Error("request was aborted by the entry"));
  }

  /** The HTTP library catches what a handler throws, and ends the exchange with `onResponseError`. */
  #createHandler(mayWrite: () => boolean): Dispatcher.DispatchHandler {
    return {
      onRequestStart: (controller) => {
        this.#controller = controller;
        if (this.#closed || !mayWrite()) {
          controller.abort(new Error("request was not written"));
          return;
        }
        this.#written = true;
        onRequestSocket((socket) => {
          this.#watchFraming(socket);
        });
      },
      onResponseStart: (_controller, status, headers) => {
        const fault = findHeadFault(status, headers);
        if (fault !== null) {
          throw new Error(fault);
        }
        this.#notifyIfOpen(() => {
          this.#listener.onHead(status, headers);
        });
      },
      onResponseData: (_controller, chunk) => {
        this.#newBodyBytes += chunk.length;
        if (!this.#pieces.takePiece(chunk.length, performance.now())) {
          throw new Error("too many small pieces of a body");
        }
        this.#notifyIfOpen(() => {
          this.#listener.onData(chunk);
        });
        this.#countTrailingBytes(chunk.length);
      },
      onResponseEnd: () => {
        this.#notifyIfOpen(() => {
          this.#close();
          this.#listener.onEnd();
        });
        this.#close();
      },
      onResponseError: (_controller, error) => {
        this.#fail(error);
      },
    };
  }

  /** Ends the exchange when the agent sends too much framing, which the HTTP library doesn't report or limit. */
  #watchFraming(socket: Socket): void {
    const framing = new FramingLimit();
    let seenBytes = socket.bytesRead;
    // Runs after the parser for the same bytes; those that wait for it are still readable.
    const check = (): void => {
      const parsedBytes = socket.bytesRead - socket.readableLength;
      const isTooMuch = framing.add(parsedBytes - seenBytes, this.#newBodyBytes);
      seenBytes = parsedBytes;
      this.#newBodyBytes = 0;
      if (isTooMuch) {
        this.#controller?.abort(new Error("too many framing bytes for the body"));
      }
    };
    socket.on("readable", check);
    this.#stopWatching = () => {
      socket.off("readable", check);
    };
  }

  #notifyIfOpen(notify: () => void): void {
    if (!this.#closed && this.#trailingBytes === null) {
      notify();
    }
  }

  #countTrailingBytes(bytes: number): void {
    if (this.#trailingBytes === null) {
      return;
    }
    this.#trailingBytes += bytes;
    if (this.#trailingBytes > maxTrailingBytes) {
      this.abort();
    }
  }

  #fail(error: unknown): void {
    this.#notifyIfOpen(() => {
      this.#close();
      this.#listener.onError(this.#written, error instanceof Error ? error : new Error(String(error)));
    });
    this.#close();
  }

  #close(): void {
    this.#closed = true;
    this.#stopWatching();
    clearTimeout(this.#trailingTimer);
    this.#closeClient();
  }

  #closeClient(): void {
    this.#freshClient?.destroy().catch(() => undefined);
    this.#freshClient = null;
  }
}
