import { createServer as createTcpServer } from "node:net";
import { createServer as createTlsServer } from "node:tls";
import type { Server, Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import type { Logger } from "roarr";
import type { Frame } from "./Frame";
import { FrameDecoder } from "./FrameDecoder";
import { FrameFlow } from "./FrameFlow";
import { FrameKind } from "./FrameKind";
import type { MessageHandler } from "./MessageHandler";
import { RemoteError } from "./RemoteError";
import type { RemoteErrorBody } from "./RemoteErrorBody";
import type { TlsFiles } from "./TlsFiles";
import { PartialMessagePool } from "./PartialMessagePool";
import { TurnQueue } from "./TurnQueue";
import { WireError } from "./WireError";
import { WireErrorCode } from "./WireErrorCode";
import { acceptPending } from "./acceptPending";
import { encodeFrame } from "./encodeFrame";
import { listenWhenFree } from "./listenWhenFree";
import { wireLimits } from "./wireLimits";

const drainPollMs = 10;

interface RpcServerOptions {
  readonly handlers: Readonly<Record<string, MessageHandler>>;
  readonly tls?: TlsFiles | undefined;
  /** Called with the reason when a connection is closed because of an invalid or incomplete frame. */
  readonly onRefused?: (reason: string, peer: string, code: WireErrorCode) => void;
  /** Called with an exception of a handler that is no answer to the peer (`RemoteError`). */
  readonly onFailed?: (name: string, error: unknown) => void;
  readonly frameTimeoutMs?: number;
}

/** RPC server: receives frames from other processes and dispatches them to a table of handlers. */
export class RpcServer {
  readonly #options: RpcServerOptions;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #partialFrames = new PartialMessagePool(() => wireLimits.maxPartialBytes);
  /** Connections with many frames at once. */
  readonly #turns = new TurnQueue();
  #isOpen = true;
  #isDraining = false;
  #calls = 0;

  constructor(options: RpcServerOptions) {
    this.#options = options;
    const { tls } = options;
    this.#server =
      tls === undefined
        ? createTcpServer((socket) => {
            this.#accept(socket);
          })
        : createTlsServer(
            {
              ...tls,
              requestCert: true,
              rejectUnauthorized: true,
              handshakeTimeout: wireLimits.frameTimeoutMs,
            },
            (socket) => {
              this.#accept(socket);
            },
          );
    this.#server.maxConnections = wireLimits.maxConnections;
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#sockets.size;
  }

  /** Resolves with the bound port. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => {
        const bound = this.#server.address();
        resolve(typeof bound === "object" && bound !== null ? bound.port : port);
      });
    });
  }

  /**
   * Listens once the port is free: the port of a process is also the lock of its files. Until `open`, calls get the error
   * `stopping` and notifications are dropped, as at a process that is gone.
   */
  async reserve(host: string, port: number, logger: Logger): Promise<void> {
    this.#isOpen = false;
    await listenWhenFree(this.#server, { host, port, logger });
  }

  /** Handles the frames that come from now on. */
  open(): void {
    this.#isOpen = true;
  }

  /**
   * Answers the calls that were read, and those that follow with the error `stopping`; notifications are still handled.
   * Resolves when no call is left, at `endAtMs` of `performance.now()` in any case. The port stays taken.
   */
  async drain(endAtMs: number): Promise<void> {
    this.#isDraining = true;
    await acceptPending(this.#server);
    while ((this.#calls > 0 || this.#hasUnsent()) && performance.now() < endAtMs) {
      await delay(drainPollMs);
    }
  }

  close(): Promise<void> {
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    return new Promise((resolve) => {
      this.#server.close(() => {
        resolve();
      });
    });
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => socket.destroy());
    socket.on("close", () => {
      this.#sockets.delete(socket);
    });
    const peer = `${socket.remoteAddress ?? "?"}:${socket.remotePort ?? 0}`;
    const decoder = new FrameDecoder();
    const flow = new FrameFlow(socket);
    const partialFrame = { drop: () => socket.destroy() };
    const rejectPeer = (error: unknown): void => {
      const code = error instanceof WireError ? error.code : WireErrorCode.FrameMalformed;
      this.#options.onRefused?.(error instanceof Error ? error.message : String(error), peer, code);
      socket.destroy();
    };
    let frameTimer: NodeJS.Timeout | null = null;
    const updateFrameTimer = (): void => {
      if (!decoder.isPartial && frameTimer !== null) {
        clearTimeout(frameTimer);
        frameTimer = null;
      } else if (decoder.isPartial && frameTimer === null) {
        const timeoutMs = this.#options.frameTimeoutMs ?? wireLimits.frameTimeoutMs;
        frameTimer = setTimeout(() => {
          frameTimer = null;
          if (flow.isPaused) {
            // The rest of the frame may have arrived and not been read.
            updateFrameTimer();
            return;
          }
          rejectPeer(
            new WireError(WireErrorCode.FrameIncomplete, `frame not complete within ${timeoutMs} ms`),
          );
        }, timeoutMs);
      }
    };
    socket.setNoDelay(true);
    socket.on("close", () => {
      this.#partialFrames.remove(partialFrame);
      if (frameTimer !== null) {
        clearTimeout(frameTimer);
      }
    });
    /** Returns the number of frames, which are handled. */
    const handlePart = (part: Buffer): number => {
      let frames: Frame[];
      try {
        frames = decoder.push(part);
      } catch (error) {
        rejectPeer(error);
        return 0;
      }
      if (frames.length > 0 && frameTimer !== null) {
        // The remaining bytes belong to a new frame, which has its own timeout.
        clearTimeout(frameTimer);
        frameTimer = null;
      }
      updateFrameTimer();
      this.#partialFrames.note(partialFrame, decoder.heldBytes);
      for (const frame of frames) {
        flow.begin();
        void this.#handleFrame(socket, frame, peer).finally(() => {
          flow.end();
        });
      }
      return frames.length;
    };
    socket.on("data", (chunk: Buffer) => {
      let rest = chunk;
      let frameCount = 0;
      while (rest.length > 0 && frameCount <= wireLimits.maxFramesPerTurn && !socket.destroyed) {
        frameCount += handlePart(rest.subarray(0, wireLimits.maxPartBytes));
        rest = rest.subarray(wireLimits.maxPartBytes);
      }
      if (frameCount > wireLimits.maxFramesPerTurn) {
        flow.waitForTurn(this.#turns);
      }
      flow.update();
      if (rest.length > 0 && !socket.destroyed) {
        socket.unshift(rest);
      }
    });
  }

  async #handleFrame(socket: Socket, frame: Frame, peer: string): Promise<void> {
    const isCall = frame.kind === FrameKind.Request;
    if (isCall && (this.#isDraining || !this.#isOpen)) {
      const message = this.#isDraining ? "the process is stopping" : "the process has not started yet";
      this.#sendError(socket, frame, { code: WireErrorCode.Stopping, message });
      return;
    }
    if (!this.#isOpen) {
      return;
    }
    this.#calls += isCall ? 1 : 0;
    try {
      await this.#dispatch(socket, frame, peer);
    } finally {
      this.#calls -= isCall ? 1 : 0;
    }
  }

  #hasUnsent(): boolean {
    return [...this.#sockets].some((socket) => !socket.destroyed && socket.writableLength > 0);
  }

  async #dispatch(socket: Socket, frame: Frame, peer: string): Promise<void> {
    const { handlers } = this.#options;
    // The name comes from the peer; inherited properties such as "constructor" are not handlers.
    const handler = Object.hasOwn(handlers, frame.name) ? handlers[frame.name] : undefined;
    try {
      if (handler === undefined) {
        throw new RemoteError("unknown_message", `no handler for message "${frame.name}"`);
      }
      const body: unknown = await handler(frame.body, peer);
      if (frame.kind === FrameKind.Request) {
        this.#send(socket, { kind: FrameKind.Response, id: frame.id, name: frame.name, body });
      }
    } catch (error) {
      if (!(error instanceof RemoteError)) {
        this.#options.onFailed?.(frame.name, error);
      }
      if (frame.kind === FrameKind.Request) {
        this.#sendError(socket, frame, getErrorBody(error));
      }
    }
  }

  #sendError(socket: Socket, { id, name }: Frame, body: RemoteErrorBody): void {
    try {
      this.#send(socket, { kind: FrameKind.Error, id, name, body });
    } catch (error) {
      this.#options.onFailed?.(name, error);
      socket.destroy();
    }
  }

  #send(socket: Socket, frame: Frame): void {
    if (socket.destroyed) {
      return;
    }
    if (socket.writableLength > wireLimits.maxUnsentBytes) {
      socket.destroy();
      return;
    }
    socket.write(encodeFrame(frame));
  }
}

function getErrorBody(error: unknown): RemoteErrorBody {
  if (error instanceof RemoteError) {
    return { code: error.code, message: error.message, detail: error.detail };
  }
  return { code: "internal", message: error instanceof Error ? error.message : String(error) };
}
