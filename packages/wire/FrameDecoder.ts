import { decode } from "cbor-x";
import type { Frame } from "./Frame";
import { FrameKind } from "./FrameKind";
import { WireError } from "./WireError";
import { WireErrorCode } from "./WireErrorCode";
import { wireLimits } from "./wireLimits";

/** Cuts a byte stream into frames. */
export class FrameDecoder {
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;

  /** Whether a frame has been begun and not completed. */
  get isPartial(): boolean {
    return this.#bufferedBytes > 0;
  }

  /** Adds received bytes and returns the frames they complete. Throws `frame_too_large` or `frame_malformed`. */
  push(chunk: Buffer): Frame[] {
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
    const frames: Frame[] = [];
    for (let frame = this.#next(); frame !== null; frame = this.#next()) {
      frames.push(frame);
    }
    return frames;
  }

  #next(): Frame | null {
    if (this.#bufferedBytes < wireLimits.headerBytes) {
      return null;
    }
    const sizeBytes = this.#peekSize();
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
    const buffered = this.#join();
    const rest = buffered.subarray(frameBytes);
    this.#chunks = rest.length > 0 ? [rest] : [];
    this.#bufferedBytes = rest.length;
    return parseBody(buffered.subarray(wireLimits.headerBytes, frameBytes));
  }

  #peekSize(): number {
    const [first] = this.#chunks;
    if (first !== undefined && first.length >= wireLimits.headerBytes) {
      return first.readUInt32BE(0);
    }
    return this.#join().readUInt32BE(0);
  }

  #join(): Buffer {
    const [first] = this.#chunks;
    if (first !== undefined && this.#chunks.length === 1) {
      return first;
    }
    const joined = Buffer.concat(this.#chunks);
    this.#chunks = [joined];
    return joined;
  }
}

function parseBody(bytes: Buffer): Frame {
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
