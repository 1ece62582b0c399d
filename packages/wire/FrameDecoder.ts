import { decode } from "cbor-x";
import type { Frame } from "./Frame";
import { FrameKind } from "./FrameKind";
import { WireError } from "./WireError";
import { WireErrorCode } from "./WireErrorCode";
import { wireLimits } from "./wireLimits";

/** Splits a byte stream into frames. */
export class FrameDecoder {
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;

  /** Whether an incomplete frame is buffered. */
  get isPartial(): boolean {
    return this.#bufferedBytes > 0;
  }

  /**
   * Adds received bytes and returns the frames they complete. Throws `frame_too_large` or `frame_malformed`.
   */
  push(chunk: Buffer): Frame[] {
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
    const frames: Frame[] = [];
    for (let frame = this.#readFrame(); frame !== null; frame = this.#readFrame()) {
      frames.push(frame);
    }
    return frames;
  }

  #readFrame(): Frame | null {
    if (this.#bufferedBytes < wireLimits.headerBytes) {
      return null;
    }
    const sizeBytes = this.#readBodySize();
    if (sizeBytes > wireLimits.maxFrameBytes) {
      throw new WireError(
        WireErrorCode.FrameTooLarge,
        `peer announced a frame of ${sizeBytes} bytes, the limit is ${wireLimits.maxFrameBytes}`,
      );
    }
    const frameBytes = wireLimits.headerBytes + sizeBytes;
    if (this.#bufferedBytes < frameBytes) {
      return null;
    }
    const buffered = this.#joinChunks();
    const remaining = buffered.subarray(frameBytes);
    this.#chunks = remaining.length > 0 ? [remaining] : [];
    this.#bufferedBytes = remaining.length;
    return parseFrame(buffered.subarray(wireLimits.headerBytes, frameBytes));
  }

  #readBodySize(): number {
    const [first] = this.#chunks;
    if (first !== undefined && first.length >= wireLimits.headerBytes) {
      return first.readUInt32BE(0);
    }
    return this.#joinChunks().readUInt32BE(0);
  }

  #joinChunks(): Buffer {
    const [first] = this.#chunks;
    if (first !== undefined && this.#chunks.length === 1) {
      return first;
    }
    const joined = Buffer.concat(this.#chunks);
    this.#chunks = [joined];
    return joined;
  }
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
