import { connect as connectTcp } from "node:net";
import { connect as connectTls } from "node:tls";
import type { Socket } from "node:net";
import { Left, Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import type { Address } from "./Address";
import type { Frame } from "./Frame";
import { FrameDecoder } from "./FrameDecoder";
import { FrameKind } from "./FrameKind";
import { PieceAllowance } from "./PieceAllowance";
import type { RemoteErrorBody } from "./RemoteErrorBody";
import type { TlsFiles } from "./TlsFiles";
import { WireError } from "./WireError";
import { WireErrorCode } from "./WireErrorCode";
import { encodeFrame } from "./encodeFrame";
import { wireLimits } from "./wireLimits";

/** Code as it comes from the peer. */
const stoppingCode: string = WireErrorCode.Stopping;

interface RpcClientOptions {
  readonly address: Address;
  readonly tls?: TlsFiles | undefined;
  readonly connectTimeoutMs?: number;
}

interface PendingCall {
  readonly resolve: (result: Either<WireError, unknown>) => void;
  readonly timer: NodeJS.Timeout;
}

const defaultConnectTimeoutMs = 500;
// After this many consecutive timeouts, the connection is closed and the next call opens a new one: an
// established connection can become unresponsive while new ones work.
const maxConsecutiveTimeouts = 2;

/** RPC client of another process. Connects on the first call, and reconnects after a connection was lost. */
export class RpcClient {
  readonly #options: RpcClientOptions;
  readonly #pending = new Map<number, PendingCall>();
  #socket: Socket | null = null;
  #nextId = 1;
  #consecutiveTimeouts = 0;
  #closed = false;

  constructor(options: RpcClientOptions) {
    this.#options = options;
  }

  get address(): Address {
    return this.#options.address;
  }

  /** Sends a request and waits for its response. The promise never rejects. */
  call(name: string, body: unknown, timeoutMs: number): Promise<Either<WireError, unknown>> {
    if (this.#closed) {
      return Promise.resolve(Left(new WireError(WireErrorCode.ConnectionClosed, "client is closed")));
    }
    if (this.#pending.size >= wireLimits.maxPendingCalls) {
      return Promise.resolve(
        Left(
          new WireError(WireErrorCode.TooManyCalls, `${this.#pending.size} calls are waiting for a response`),
        ),
      );
    }
    const id = this.#nextId;
    this.#nextId += 1;
    const bytes = encode({ kind: FrameKind.Request, id, name, body });
    if (bytes instanceof WireError) {
      return Promise.resolve(Left(bytes));
    }
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#onTimeout(id, name, timeoutMs);
      }, timeoutMs);
      this.#pending.set(id, { resolve, timer });
      this.#write(bytes);
    });
  }

  /** Sends a message that has no response; it may be lost. Returns why it cannot be sent at all, else null. */
  notify(name: string, body: unknown): WireError | null {
    const bytes = encode({ kind: FrameKind.Notify, id: 0, name, body });
    if (bytes instanceof WireError) {
      return bytes;
    }
    if (!this.#closed) {
      this.#write(bytes);
    }
    return null;
  }

  close(): void {
    this.#closed = true;
    this.#dropConnection(new WireError(WireErrorCode.ConnectionClosed, "client is closed"));
  }

  #write(bytes: Buffer): void {
    const socket = this.#socket ?? this.#connect();
    if (socket.writableLength > wireLimits.maxUnsentBytes) {
      this.#dropConnection(new WireError(WireErrorCode.ConnectionClosed, "peer has stopped reading"));
      return;
    }
    socket.write(bytes);
  }

  #connect(): Socket {
    const { address, tls } = this.#options;
    const socket =
      tls === undefined
        ? connectTcp({ ...address })
        : connectTls({ ...address, ...tls, checkServerIdentity: () => undefined });
    const decoder = new FrameDecoder();
    const connectTimeoutMs = this.#options.connectTimeoutMs ?? defaultConnectTimeoutMs;
    const unexpected = new PieceAllowance(wireLimits.maxPendingCalls, wireLimits.unexpectedResponsesPerS);
    const peer = `${address.host}:${address.port}`;
    const fail = (code: WireErrorCode, reason: string): void => {
      if (this.#socket === socket) {
        this.#dropConnection(new WireError(code, `${peer}: ${reason}`));
      }
    };
    const connectTimer = setTimeout(() => {
      fail(WireErrorCode.ConnectFailed, `no connection within ${connectTimeoutMs} ms`);
    }, connectTimeoutMs);
    let connected = false;
    this.#socket = socket;
    this.#consecutiveTimeouts = 0;
    socket.setNoDelay(true);
    socket.on(tls === undefined ? "connect" : "secureConnect", () => {
      connected = true;
      clearTimeout(connectTimer);
    });
    socket.on("error", (error: Error) => {
      fail(connected ? WireErrorCode.ConnectionClosed : WireErrorCode.ConnectFailed, error.message);
    });
    socket.on("close", () => {
      clearTimeout(connectTimer);
      fail(WireErrorCode.ConnectionClosed, "connection closed by the peer");
    });
    socket.on("data", (chunk: Buffer) => {
      try {
        for (const frame of decoder.push(chunk)) {
          if (!this.#onFrame(frame) && !unexpected.take(1, performance.now())) {
            fail(WireErrorCode.ConnectionClosed, "too many responses to no call");
            return;
          }
        }
      } catch (error) {
        fail(WireErrorCode.FrameMalformed, error instanceof Error ? error.message : String(error));
      }
    });
    return socket;
  }

  /** Returns whether a call waited for the frame; one that has timed out does not. */
  #onFrame(frame: Frame): boolean {
    this.#consecutiveTimeouts = 0;
    const pending = this.#removePending(frame.id);
    if (pending === null) {
      return false;
    }
    if (frame.kind === FrameKind.Error) {
      const { code, message, detail } = frame.body as RemoteErrorBody;
      // A peer that is stopping counts as one that is gone: its error is no answer of a handler.
      const isStopping = code === stoppingCode;
      const kind = isStopping ? WireErrorCode.Stopping : WireErrorCode.Remote;
      pending.resolve(Left(new WireError(kind, message, { code, detail })));
      return true;
    }
    pending.resolve(Right(frame.body));
    return true;
  }

  #onTimeout(id: number, name: string, timeoutMs: number): void {
    const pending = this.#removePending(id);
    this.#consecutiveTimeouts += 1;
    pending?.resolve(
      Left(new WireError(WireErrorCode.Timeout, `no response to "${name}" within ${timeoutMs} ms`)),
    );
    if (this.#consecutiveTimeouts >= maxConsecutiveTimeouts) {
      this.#dropConnection(new WireError(WireErrorCode.ConnectionClosed, "connection is unresponsive"));
    }
  }

  #removePending(id: number): PendingCall | null {
    const pending = this.#pending.get(id);
    if (pending === undefined) {
      return null;
    }
    clearTimeout(pending.timer);
    this.#pending.delete(id);
    return pending;
  }

  #dropConnection(error: WireError): void {
    const socket = this.#socket;
    this.#socket = null;
    socket?.destroy();
    for (const id of [...this.#pending.keys()]) {
      this.#removePending(id)?.resolve(Left(error));
    }
  }
}

function encode(frame: Frame): Buffer | WireError {
  try {
    return encodeFrame(frame);
  } catch (error) {
    return error instanceof WireError ? error : new WireError(WireErrorCode.FrameMalformed, String(error));
  }
}
