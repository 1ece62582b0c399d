import { encode } from "cbor-x";
import type { Frame } from "./Frame";
import { WireError } from "./WireError";
import { WireErrorCode } from "./WireErrorCode";
import { wireLimits } from "./wireLimits";

/** Encodes a frame with its length prefix. Throws `frame_too_large`. */
export function encodeFrame(frame: Frame): Buffer {
  const body = encode([frame.kind, frame.id, frame.name, frame.body]);
  if (body.length > wireLimits.maxFrameBytes) {
    throw new WireError(
      WireErrorCode.FrameTooLarge,
      `message "${frame.name}" has ${body.length} bytes, the limit is ${wireLimits.maxFrameBytes}`,
    );
  }
  const header = Buffer.allocUnsafe(wireLimits.headerBytes);
  header.writeUInt32BE(body.length);
  return Buffer.concat([header, body]);
}
