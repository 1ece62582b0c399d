import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { FramingDebt } from "./FramingDebt";
import { PieceAllowance } from "./PieceAllowance";
import { TurnQueue } from "./TurnQueue";

type Parse = (part: Buffer) => void;

const noBytes = Buffer.alloc(0);
/** Size of a part while parts bring many pieces, and of the first one: up to 680 chunks of one byte. */
const minPartBytes = 4096;
/** Node reads no more from a socket at once. */
const maxPartBytes = 65_536;
/** A part with more small pieces is the only one of its connection in a turn of the event loop. */
const maxDirectPieces = 64;
/** Small pieces of a response: a working engine sends tens of events per second. */
const pieceBurst = 4096;
const piecesPerS = 1000;

/** Shared by all connections, so that together they parse one part with many pieces per turn. */
const turns = new TurnQueue();

/**
 * Feeds the bytes of a response to Node's parser in parts, and calls back when its small pieces or its framing are too
 * much. Node parses all that it has read in one turn of the event loop, with an object and an event for each chunk.
 * Bytes that wait, as while the consumer doesn't read, are one buffer, and the socket isn't read meanwhile.
 *
 * Must be created with the request, after the listeners for its response. The callback is to destroy the request.
 */
export class ResponseFeeder {
  readonly #request: ClientRequest;
  readonly #onExceeded: (detail: string) => void;
  readonly #pieces = new PieceAllowance(pieceBurst, piecesPerS);
  readonly #framing = new FramingDebt();
  #socket: Socket | null = null;
  #parse: Parse | null = null;
  #response: IncomingMessage | null = null;
  #held: Buffer = noBytes;
  #partBytes = minPartBytes;
  /** Pieces and body bytes of the part that is parsed. */
  #smallPieces = 0;
  #bodyBytes = 0;
  #nowMs = 0;
  #isPaused = false;
  #isInTurn = false;
  #isClosing = false;
  #isExceeded = false;

  constructor(request: ClientRequest, onExceeded: (detail: string) => void) {
    this.#request = request;
    this.#onExceeded = onExceeded;
    // The first listener, so that Node's listener is the latest one of the socket.
    request.prependOnceListener("socket", this.#attach);
    request.on("information", () => {
      this.#countPiece(0);
    });
    request.once("response", this.#onResponse);
    request.once("close", this.#detach);
  }

  /** Stops parsing and reading; the response emits no further data. */
  pause(): void {
    this.#isPaused = true;
    this.#response?.pause();
    this.#updateReading();
  }

  resume(): void {
    this.#isPaused = false;
    this.#response?.resume();
    // Emits 'resume' in a later tick.
    this.#socket?.resume();
  }

  /** Node detaches its parser at the end of a response and at a parse error. */
  get #hasParser(): boolean {
    return Boolean((this.#socket as { parser?: unknown } | null)?.parser);
  }

  /** Whether further bytes of the response may be parsed. */
  get #isActive(): boolean {
    return (
      !this.#isExceeded &&
      !this.#request.destroyed &&
      this.#response?.complete !== true &&
      this.#hasParser &&
      (this.#isClosing || this.#socket?.destroyed === false)
    );
  }

  /** Whether the consumer leaves more data unread than Node buffers; Node resumes the socket when it reads. */
  get #isBlocked(): boolean {
    const response = this.#response;
    return response !== null && response.readableLength >= response.readableHighWaterMark;
  }

  readonly #attach = (socket: Socket): void => {
    const parse = socket.listeners("data").at(-1) as Parse | undefined;
    if (parse === undefined) {
      throw new Error("the connection has no parser");
    }
    this.#socket = socket;
    this.#parse = parse.bind(socket);
    // Added before the other is removed: a socket without a listener stops flowing.
    socket.on("data", this.#onData);
    socket.off("data", parse);
    socket.on("resume", this.#onResume);
    // Before Node's listeners, which end the response.
    socket.prependListener("end", this.#onClosing);
    socket.prependListener("error", this.#onClosing);
    socket.prependListener("close", this.#onClosing);
  };

  readonly #detach = (): void => {
    const socket = this.#socket;
    this.#socket = null;
    this.#held = noBytes;
    if (socket !== null) {
      socket.off("data", this.#onData);
      socket.off("resume", this.#onResume);
      socket.off("end", this.#onClosing);
      socket.off("error", this.#onClosing);
      socket.off("close", this.#onClosing);
    }
  };

  readonly #onResponse = (response: IncomingMessage): void => {
    this.#response = response;
    // Counts what the parser delivers, which 'data' events don't while the consumer is slow.
    const push = response.push.bind(response);
    response.push = (chunk: Buffer | null, encoding?: BufferEncoding): boolean => {
      if (chunk !== null && !this.#countPiece(chunk.length)) {
        return false;
      }
      return push(chunk, encoding);
    };
    if (this.#isPaused) {
      response.pause();
    }
    // Again before listeners that were added with the response.
    this.#socket?.off("end", this.#onClosing);
    this.#socket?.prependListener("end", this.#onClosing);
  };

  readonly #onData = (chunk: Buffer): void => {
    this.#held = this.#held.length === 0 ? chunk : Buffer.concat([this.#held, chunk]);
    this.#run();
  };

  readonly #onResume = (): void => {
    this.#run();
  };

  /** Parses all that is held, since Node reports the end of a socket even while it is paused. */
  readonly #onClosing = (): void => {
    this.#isClosing = true;
    while (this.#held.length > 0 && this.#isActive) {
      this.#parseNext();
    }
    this.#dropIfEnded();
  };

  #run(): void {
    while (this.#held.length > 0 && this.#isActive && !this.#isWaiting) {
      this.#parseNext();
    }
    this.#dropIfEnded();
    this.#updateReading();
  }

  get #isWaiting(): boolean {
    return this.#isPaused || this.#isInTurn || this.#isBlocked;
  }

  #updateReading(): void {
    if (!this.#isActive) {
      return;
    }
    if (this.#held.length > 0 || this.#isPaused) {
      this.#socket?.pause();
    } else if (!this.#isBlocked) {
      this.#socket?.resume();
    }
  }

  /** Closes a connection that delivers more than the response: the rest must not reach the next one. */
  #dropIfEnded(): void {
    if (this.#held.length > 0 && !this.#isActive) {
      this.#held = noBytes;
      this.#socket?.destroy();
    }
  }

  #parseNext(): void {
    const part = this.#held.subarray(0, this.#partBytes);
    this.#held = this.#held.subarray(this.#partBytes);
    this.#smallPieces = 0;
    this.#bodyBytes = 0;
    this.#nowMs = performance.now();
    this.#parse?.(part);
    if (this.#framing.add(part.length, this.#bodyBytes)) {
      this.#exceed("too many framing bytes for the body");
    }
    if (this.#smallPieces > maxDirectPieces) {
      this.#partBytes = minPartBytes;
      this.#waitForTurn();
    } else {
      this.#partBytes = Math.min(this.#partBytes * 2, maxPartBytes);
    }
  }

  /** Bytes that arrive before the turn are held. */
  #waitForTurn(): void {
    if (this.#isInTurn) {
      return;
    }
    this.#isInTurn = true;
    turns.add(() => {
      this.#isInTurn = false;
      this.#run();
    });
  }

  /** Returns whether the piece is within the limit. */
  #countPiece(sizeBytes: number): boolean {
    this.#bodyBytes += sizeBytes;
    this.#smallPieces += PieceAllowance.isSmall(sizeBytes) ? 1 : 0;
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
