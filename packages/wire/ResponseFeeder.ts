import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { FramingLimit } from "./FramingLimit";
import { PieceAllowance } from "./PieceAllowance";
import { TurnQueue } from "./TurnQueue";

type Parse = (part: Buffer) => void;

const noBytes = Buffer.alloc(0);
/** Size of a part while parts bring many pieces, and of the first one: up to 680 chunks of one byte. */
const minPartBytes = 4096;
/** Node reads no more from a socket at once. */
const maxReadBytes = 65_536;
/** A part with more pieces is the only one of its connection in a turn of the event loop. */
const maxDirectPieces = 64;

/** Shared by all connections: after a part with many pieces or a full read, each waits for its turn. */
const turns = new TurnQueue();

/**
 * Feeds the bytes of a response to Node's parser in parts, and calls back when its small pieces or its framing are too
 * much. Node parses all that it has read in one turn of the event loop, with an object and an event for each chunk.
 * Bytes that wait, as while the consumer doesn't read, go back into the buffer of the paused socket, which therefore
 * reports its end only after them.
 *
 * Must be created with the request. The callback is to destroy the request; by default, it does so with an error.
 */
export class ResponseFeeder {
  readonly #request: ClientRequest;
  readonly #onExceeded: (detail: string) => void;
  readonly #pieces = new PieceAllowance();
  readonly #framing = new FramingLimit();
  #socket: Socket | null = null;
  #parse: Parse | null = null;
  #response: IncomingMessage | null = null;
  #partBytes = minPartBytes;
  /** Pieces and body bytes of the part that is parsed, and when this began. */
  #pieceCount = 0;
  #bodyBytes = 0;
  #nowMs = 0;
  #isPaused = false;
  #isInTurn = false;
  #isReset = false;
  #isExceeded = false;

  constructor(request: ClientRequest, onExceeded: (detail: string) => void = createDestroyer(request)) {
    this.#request = request;
    this.#onExceeded = onExceeded;
    // The first listener, so that Node's listener is the latest one of the socket.
    request.prependOnceListener("socket", (socket) => {
      this.#attach(socket);
    });
    request.on("information", () => {
      this.#countPiece(0);
    });
    request.once("response", (response: IncomingMessage) => {
      this.#onResponse(response);
    });
    request.once("close", () => {
      this.#detach();
    });
  }

  /** Stops parsing and reading; the response emits no further data. */
  pause(): void {
    this.#isPaused = true;
    this.#response?.pause();
    if (this.#isActive) {
      this.#socket?.pause();
    }
  }

  resume(): void {
    this.#isPaused = false;
    this.#response?.resume();
    this.#socket?.resume();
  }

  /** Whether further bytes of the response may be parsed. */
  get #isActive(): boolean {
    return (
      !this.#isExceeded &&
      !this.#request.destroyed &&
      this.#response?.complete !== true &&
      (this.#isReset || this.#socket?.destroyed === false)
    );
  }

  get #isWaiting(): boolean {
    return this.#isPaused || this.#isInTurn || this.#isBlocked;
  }

  /**
   * Whether the consumer doesn't read. One that is paused holds no further pieces. A reader on 'readable' events is never
   * resumed; Node resumes the socket when it reads.
   */
  get #isBlocked(): boolean {
    const response = this.#response;
    if (response === null) {
      return false;
    }
    const isPaused = response.readableFlowing === false && response.listenerCount("readable") === 0;
    return isPaused || response.readableLength >= response.readableHighWaterMark;
  }

  /** Node detaches its parser at a parse error. */
  get #hasParser(): boolean {
    return Boolean((this.#socket as { parser?: unknown } | null)?.parser);
  }

  #attach(socket: Socket): void {
    const parse = socket.listeners("data").at(-1) as Parse | undefined;
    if (parse === undefined) {
      throw new Error("the connection has no parser");
    }
    this.#socket = socket;
    this.#parse = parse.bind(socket);
    socket.on("data", this.#onData);
    socket.off("data", parse);
    socket.on("resume", this.#onResume);
    // Before Node's listener, which ends the response.
    socket.prependListener("error", this.#onError);
  }

  /** A kept-alive connection gets another feeder with its next request. */
  #detach(): void {
    const socket = this.#socket;
    this.#socket = null;
    socket?.off("data", this.#onData);
    socket?.off("resume", this.#onResume);
    socket?.off("error", this.#onError);
  }

  #onResponse(response: IncomingMessage): void {
    this.#response = response;
    // Counts what the parser delivers, which 'data' events don't while the consumer is slow.
    const push = response.push.bind(response);
    response.push = (chunk: Buffer | null, encoding?: BufferEncoding): boolean => {
      if (chunk !== null && !this.#countPiece(chunk.length)) {
        return false;
      }
      return push(chunk, encoding);
    };
    response.on("resume", () => {
      this.#socket?.resume();
    });
    if (this.#isPaused) {
      response.pause();
    }
  }

  readonly #onData = (chunk: Buffer): void => {
    let rest = chunk;
    while (rest.length > 0 && this.#isActive && !this.#isWaiting) {
      rest = this.#parsePart(rest);
    }
    if (chunk.length >= maxReadBytes) {
      // More is likely to wait, and Node would read a socket up to 32 times in a row.
      this.#waitForTurn();
    }
    if (rest.length > 0 && this.#isActive) {
      this.#socket?.pause();
      this.#socket?.unshift(rest);
    } else if (rest.length > 0) {
      // More than the response, which must not reach the next one.
      this.#socket?.destroy();
    } else if (this.#isActive && this.#isInTurn) {
      this.#socket?.pause();
    }
  };

  /** Node also resumes the socket by itself, as at each read of a consumer. */
  readonly #onResume = (): void => {
    if (this.#isActive && this.#isWaiting) {
      this.#socket?.pause();
    }
  };

  /** Parses what was received before a reset. */
  readonly #onError = (): void => {
    this.#isReset = true;
    let rest = this.#socket?.read() as Buffer | null;
    while (rest !== null && rest.length > 0 && this.#isActive && this.#hasParser) {
      rest = this.#parsePart(rest);
    }
  };

  /** Returns the bytes that are left. */
  #parsePart(bytes: Buffer): Buffer {
    const part = bytes.length > this.#partBytes ? bytes.subarray(0, this.#partBytes) : bytes;
    this.#pieceCount = 0;
    this.#bodyBytes = 0;
    this.#nowMs = performance.now();
    this.#parse?.(part);
    if (this.#framing.add(part.length, this.#bodyBytes)) {
      this.#exceed("too many framing bytes for the body");
    }
    if (this.#pieceCount > maxDirectPieces) {
      this.#partBytes = minPartBytes;
      this.#waitForTurn();
    } else {
      this.#partBytes = Math.min(this.#partBytes * 2, maxReadBytes);
    }
    return part === bytes ? noBytes : bytes.subarray(part.length);
  }

  #waitForTurn(): void {
    if (!this.#isInTurn) {
      this.#isInTurn = true;
      turns.add(() => {
        this.#isInTurn = false;
        if (!this.#isWaiting) {
          this.#socket?.resume();
        }
      });
    }
  }

  /** Returns whether the piece is within the limit. */
  #countPiece(sizeBytes: number): boolean {
    this.#bodyBytes += sizeBytes;
    this.#pieceCount += 1;
    if (!this.#isExceeded && !this.#pieces.takePiece(sizeBytes, this.#nowMs)) {
      this.#exceed("too many small pieces of a body");
    }
    return !this.#isExceeded;
  }

  #exceed(detail: string): void {
    if (!this.#isExceeded) {
      this.#isExceeded = true;
      this.#onExceeded(detail);
    }
  }
}

function createDestroyer(request: ClientRequest): (detail: string) => void {
  return (detail) => {
    request.destroy(new Error(detail));
  };
}
