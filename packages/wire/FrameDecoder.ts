import { decode } from "cbor-x";
import type { Frame } from "./Frame";
import { FrameKind } from "./FrameKind";
import { WireError } from "./WireError";
import { WireErrorCode } from "./WireErrorCode";
import { wireLimits } from "./wireLimits";

const minCapacityBytes = 256;

/**
 * Splits a byte stream into frames. Holds an incomplete frame in one buffer that grows with what has arrived: neither an
 * announced length nor the number of pieces costs memory.
 */
export class FrameDecoder {
  #buffer: Buffer = Buffer.alloc(0);
  #bufferedBytes = 0;

  /** Whether an incomplete frame is buffered. */
  get isPartial(): boolean {
    return this.#bufferedBytes > 0;
  }

  /** Size of the memory that is held for an incomplete frame. */
  get heldBytes(): number {
    return this.#buffer.length;
  }

  /**
   * Adds received bytes and returns the frames they complete. Throws `frame_too_large` or `frame_malformed`.
   */
  push(chunk: Buffer): Frame[] {
    let rest = this.#join(chunk);
    const frames: Frame[] = [];
    for (let endBytes = findFrameEnd(rest); endBytes !== null; endBytes = findFrameEnd(rest)) {
      frames.push(parseFrame(rest.subarray(wireLimits.headerBytes, endBytes)));
      rest = rest.subarray(endBytes);
    }
    if (frames.length > 0 || this.#bufferedBytes === 0) {
      this.#keep(rest);
    }
    return frames;
  }

  /** Appends the chunk to what is buffered; returns both. */
  #join(chunk: Buffer): Buffer {
    if (this.#bufferedBytes === 0) {
      return chunk;
    }
    const sizeBytes = this.#bufferedBytes + chunk.length;
    if (sizeBytes > this.#buffer.length) {
      const grown = Buffer.allocUnsafeSlow(Math.max(sizeBytes, this.#buffer.length * 2));
      this.#buffer.copy(grown, 0, 0, this.#bufferedBytes);
      this.#buffer = grown;
    }
    chunk.copy(this.#buffer, this.#bufferedBytes);
    this.#bufferedBytes = sizeBytes;
    return this.#buffer.subarray(0, sizeBytes);
  }

  /** Copies the rest, since decoded frames may refer to the bytes before it. */
  #keep(rest: Buffer): void {
    this.#buffer = Buffer.allocUnsafeSlow(rest.length === 0 ? 0 : Math.max(rest.length, minCapacityBytes));
    rest.copy(this.#buffer);
    this.#bufferedBytes = rest.length;
  }
}

/** Number of bytes of the first frame with its header; null while it is incomplete. Throws `frame_too_large`. */
function findFrameEnd(bytes: Buffer): number | null {
  if (bytes.length < wireLimits.headerBytes) {
    return null;
  }
  const sizeBytes = bytes.readUInt32BE(0);
  if (sizeBytes > wireLimits.maxFrameBytes) {
    throw new WireError(
      WireErrorCode.FrameTooLarge,
      `peer announced a frame of ${sizeBytes} bytes, the limit is ${wireLimits.maxFrameBytes}`,
    );
  }
  const frameBytes = wireLimits.headerBytes + sizeBytes;
  return bytes.length < frameBytes ? null : frameBytes;
}

function parseFrame(bytes: Buffer): Frame {
  let fields: unknown;
  try {
    fields = decode(bytes);
  } catch (cause) {
    throw new WireError(WireErrorCode.FrameMalformed, `frame is not CBOR: ${String(cause)}`);
  }
  if (!Array.isArray(fields) || fields.length !== 4) {
    throw new WireError(WireErrorCode.FrameMalformed, "frame is not an array of kind, id, name and body");
  }
  const [kind, id, name, body] = fields as [unknown, unknown, unknown, unknown];
  if (!isFrameKind(kind) || typeof id !== "number" || typeof name !== "string") {
    throw new WireError(WireErrorCode.FrameMalformed, "frame has a kind, id or name of the wrong type");
  }
  return { kind, id, name, body };
}

function isFrameKind(value: unknown): value is FrameKind {
  return typeof value === "number" && value in FrameKind;
}
