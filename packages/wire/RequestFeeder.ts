import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { HeadLimits } from "./HeadLimits";
import { HeadMeter } from "./HeadMeter";
import type { TurnQueue } from "./TurnQueue";

type Parse = (chunk: Buffer) => void;

const headEnd = Buffer.from("\r\n\r\n");
const carriageReturn = 0x0d;
const lineFeed = 0x0a;
const noBytes = Buffer.alloc(0);
/** Part of a head without an end that is parsed at a time; shorter than many heads with bare line feeds. */
const maxHeadPartBytes = 1024;
/** Part of a chunked body that is parsed in one turn; thousands of chunks may be in it. */
const maxTurnBytes = 16_384;
/** A chunked body that is no longer than this is parsed at once. */
const maxDirectBytes = 2048;

/**
 * Feeds the bytes of one connection to Node's parser so that a request is parsed only when the one before it has been
 * answered. Node parses all pipelined requests in a chunk at once, and holds them and their responses. Bytes that wait
 * are one buffer, and the socket isn't read meanwhile.
 */
export class RequestFeeder {
  readonly #socket: Socket;
  readonly #parse: Parse;
  readonly #turns: TurnQueue;
  readonly #limits: HeadLimits | null;
  /** The head that is being received. */
  readonly #head = new HeadMeter();
  readonly #partialHead = {
    drop: (): void => {
      this.#limits?.onTooLarge(this.#socket);
    },
  };
  #isInTurn = false;
  /** Requests whose responses have not ended. */
  #open = 0;
  #latest: IncomingMessage | null = null;
  /** Bytes of the latest request's body that have not been fed; null if its length is not announced. */
  #leftBytes: number | null = 0;
  #held: Buffer = noBytes;
  /** Last bytes that were fed since the last end of a head or a chunked body. */
  #tail: Buffer = noBytes;

  /** Takes the place of Node's listener for the data of the socket. */
  constructor(socket: Socket, turns: TurnQueue, limits: HeadLimits | null = null) {
    this.#socket = socket;
    this.#turns = turns;
    this.#limits = limits;
    socket.once("close", () => {
      limits?.pool.remove(this.#partialHead);
    });
    const [parse] = socket.listeners("data") as Parse[];
    if (parse === undefined) {
      throw new Error("the connection has no parser");
    }
    this.#parse = parse;
    // A further listener ends Node's direct path from the system's buffers to the parser.
    socket.on("data", (chunk: Buffer) => {
      this.#onData(chunk);
    });
    socket.off("data", parse);
  }

  /** Whether a request has been read and not been answered. */
  get isBusy(): boolean {
    return this.#open > 0;
  }

  /** Whether a request has been read in part: its head is complete, its body isn't. */
  get isUploading(): boolean {
    return this.#latest?.complete === false;
  }

  /** Called with each request of the connection, before it is handled. */
  begin(request: IncomingMessage, response: ServerResponse): void {
    this.#latest = request;
    // Earlier releases of Node accept a head that ends without the mark, with bare line feeds.
    this.#endHead();
    this.#open += 1;
    const isChunked = request.headers["transfer-encoding"] !== undefined;
    this.#leftBytes = isChunked ? null : Number(request.headers["content-length"] ?? 0);
    response.once("close", () => {
      this.#open -= 1;
      this.#continue();
    });
  }

  #onData(chunk: Buffer): void {
    if (this.#held.length === 0) {
      this.#feed(chunk);
      return;
    }
    // Node may resume the socket while the latest request is read.
    this.#held = Buffer.concat([this.#held, chunk]);
    this.#socket.pause();
  }

  #continue(): void {
    if (this.#open === 0 && !this.#isInTurn) {
      this.#feedHeld();
    }
  }

  #feedHeld(): void {
    const held = this.#held;
    if (held.length > 0 && !this.#socket.destroyed) {
      this.#held = noBytes;
      this.#feed(held);
      this.#resumeUnlessHeld();
    }
  }

  /** Called after the held bytes were fed: a socket that is resumed before may report its end too early. */
  #resumeUnlessHeld(): void {
    if (this.#held.length === 0) {
      this.#socket.resume();
    }
  }

  /** Parses a part of a chunked body in a later turn, and the rest in further ones. */
  #feedInTurns(bytes: Buffer): void {
    this.#hold(bytes);
    this.#isInTurn = true;
    this.#turns.add(() => {
      this.#isInTurn = false;
      const part = this.#held.subarray(0, maxTurnBytes);
      const rest = this.#held.subarray(maxTurnBytes);
      this.#held = noBytes;
      this.#feed(part, true);
      const left = this.#held.length > 0 ? Buffer.concat([this.#held, rest]) : rest;
      this.#held = noBytes;
      this.#feed(left);
      this.#resumeUnlessHeld();
    });
  }

  #hold(bytes: Buffer): void {
    this.#held = bytes;
    this.#socket.pause();
  }

  #feed(bytes: Buffer, isTurn = false): void {
    let rest = bytes;
    while (rest.length > 0 && !this.#socket.destroyed && this.#socket.writable) {
      if (this.#open > 0 && !this.isUploading) {
        this.#hold(rest);
        return;
      }
      if (this.isUploading && this.#leftBytes === null && !isTurn && rest.length > maxDirectBytes) {
        this.#feedInTurns(rest);
        return;
      }
      const endBytes = this.#findEnd(rest);
      const part = rest.subarray(0, endBytes);
      rest = rest.subarray(endBytes);
      const before = this.#latest;
      const isHead = !this.isUploading && part.subarray(-headEnd.length).equals(headEnd);
      this.#parse(part);
      if (isHead && this.#latest === before && !isBlank(part)) {
        // Node has answered the request itself, as one without a host, and would answer all that follow at once.
        this.#socket.destroySoon();
      }
    }
  }

  /** Number of bytes after which a request may end, or all. */
  #findEnd(bytes: Buffer): number {
    if (this.isUploading && this.#leftBytes !== null) {
      const endBytes = Math.min(this.#leftBytes, bytes.length);
      this.#leftBytes -= endBytes;
      return endBytes;
    }
    const endBytes = this.#findMark(bytes);
    if (endBytes !== null) {
      this.#tail = noBytes;
      this.#endHead();
      return endBytes;
    }
    const partBytes = this.isUploading ? bytes.length : Math.min(bytes.length, maxHeadPartBytes);
    if (!this.isUploading) {
      this.#noteHeadPart(bytes.subarray(0, partBytes));
    }
    this.#tail = Buffer.from(
      Buffer.concat([this.#tail, bytes.subarray(0, partBytes)]).subarray(1 - headEnd.length),
    );
    return partBytes;
  }

  #endHead(): void {
    if (this.#head.heldBytes > 0) {
      this.#head.reset();
      this.#limits?.pool.remove(this.#partialHead);
    }
  }

  #noteHeadPart(part: Buffer): void {
    const limits = this.#limits;
    if (limits === null) {
      return;
    }
    this.#head.add(part);
    if (this.#head.exceeds(limits.getMaxBytes()) || this.#head.lines > limits.maxFields) {
      limits.onTooLarge(this.#socket);
    } else {
      limits.pool.note(this.#partialHead, this.#head.heldBytes);
    }
  }

  /** Heads and chunked bodies end with an empty line, which may be split between chunks. */
  #findMark(bytes: Buffer): number | null {
    if (this.#tail.length > 0) {
      const joined = Buffer.concat([this.#tail, bytes.subarray(0, headEnd.length - 1)]);
      const at = joined.indexOf(headEnd);
      if (at >= 0) {
        return at + headEnd.length - this.#tail.length;
      }
    }
    const at = bytes.indexOf(headEnd);
    return at < 0 || (!this.isUploading && at > maxHeadPartBytes) ? null : at + headEnd.length;
  }
}

/** Whether bytes are only line ends, which clients may send before a request. */
function isBlank(bytes: Buffer): boolean {
  return bytes.every((byte) => byte === carriageReturn || byte === lineFeed);
}
