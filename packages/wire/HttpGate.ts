import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ConnectionCloseReason } from "./ConnectionCloseReason";
import type { HeadLimits } from "./HeadLimits";
import { RequestFeeder } from "./RequestFeeder";
import { TurnQueue } from "./TurnQueue";

interface HttpGateOptions {
  readonly maxConnections: number;
  /** Time without a byte of a body, or without a byte read of a response, after which a connection is closed. */
  readonly getIdleTimeoutMs: () => number;
  /** Bounds of heads beside those of Node's parser, which are fixed for the life of a connection. */
  readonly headLimits?: HeadLimits;
  readonly onClosed?: (reason: ConnectionCloseReason) => void;
}

interface Connection {
  readonly feeder: RequestFeeder;
  /** Response to the latest request; null before the first one. */
  latest: ServerResponse | null;
  /** Bytes that were read and written at the last sweep, and the sweeps since then without further ones. */
  readBytes: number;
  writtenBytes: number;
  sweepsWithoutProgress: number;
}

const sweepMs = 1000;

/**
 * Bounds what clients can make an HTTP server hold: one request of a connection at a time, a number of connections, and
 * the time for which a body or the reading of a response may stand still.
 */
export class HttpGate {
  readonly #options: HttpGateOptions;
  readonly #connections = new Map<Socket, Connection>();
  readonly #turns = new TurnQueue();
  readonly #timer: NodeJS.Timeout;

  constructor(server: Server, options: HttpGateOptions) {
    this.#options = options;
    server.on("connection", (socket: Socket) => {
      this.#add(socket);
    });
    server.prependListener("request", (request: IncomingMessage, response: ServerResponse) => {
      const connection = this.#connections.get(request.socket);
      if (connection !== undefined) {
        connection.latest = response;
        connection.feeder.begin(request, response);
      }
    });
    this.#timer = setInterval(() => {
      this.#sweep();
    }, sweepMs);
    this.#timer.unref();
    server.on("close", () => {
      clearInterval(this.#timer);
    });
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#connections.size;
  }

  #add(socket: Socket): void {
    const connection: Connection = {
      feeder: new RequestFeeder(socket, this.#turns, this.#options.headLimits),
      latest: null,
      readBytes: 0,
      writtenBytes: 0,
      sweepsWithoutProgress: 0,
    };
    this.#connections.set(socket, connection);
    socket.once("close", () => {
      this.#connections.delete(socket);
    });
    if (this.#connections.size > this.#options.maxConnections) {
      this.#close(this.#findDispensable(socket) ?? socket, ConnectionCloseReason.TooMany);
    }
  }

  /**
   * The connection to close in place of the one that was added: the oldest without a request, else the oldest idle one, else the
   * oldest with an unfinished upload, so that a crowd of these keeps out nobody. Null if there is none.
   */
  #findDispensable(added: Socket): Socket | null {
    let idle: Socket | null = null;
    let uploading: Socket | null = null;
    for (const [socket, { latest, feeder }] of this.#connections) {
      if (latest === null && socket !== added) {
        return socket;
      }
      idle ??= feeder.isBusy || socket === added ? null : socket;
      uploading ??= feeder.isUploading ? socket : null;
    }
    return idle ?? uploading;
  }

  /** Counts sweeps, not time, so that a process that was suspended reads its sockets before it closes any. */
  #sweep(): void {
    const maxSweeps = Math.ceil(this.#options.getIdleTimeoutMs() / sweepMs);
    for (const [socket, connection] of this.#connections) {
      const { bytesRead } = socket;
      const writtenBytes = socket.bytesWritten - socket.writableLength;
      const isStill = bytesRead === connection.readBytes && writtenBytes === connection.writtenBytes;
      connection.readBytes = bytesRead;
      connection.writtenBytes = writtenBytes;
      connection.sweepsWithoutProgress = isStill ? connection.sweepsWithoutProgress + 1 : 0;
      if (connection.sweepsWithoutProgress > maxSweeps && socket.writableLength > 0) {
        this.#close(socket, ConnectionCloseReason.UnreadResponse);
      } else if (connection.sweepsWithoutProgress > maxSweeps && connection.feeder.isUploading) {
        this.#close(socket, ConnectionCloseReason.StalledBody);
      }
    }
  }

  #close(socket: Socket, reason: ConnectionCloseReason): void {
    const latest = this.#connections.get(socket)?.latest ?? null;
    this.#connections.delete(socket);
    this.#options.onClosed?.(reason);
    if (reason === ConnectionCloseReason.StalledBody && latest?.headersSent === false) {
      socket.write("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
      socket.destroySoon();
    } else {
      socket.destroy();
    }
  }
}
