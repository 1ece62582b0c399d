import { getCrc32c } from "./getCrc32c";
import { recordHeaderBytes } from "./recordHeaderBytes";

/** Payload of the record at an offset; null if there is no whole and valid one. */
export function readPayload(bytes: Buffer, offset: number): Buffer | null {
  if (offset + recordHeaderBytes > bytes.length) {
    return null;
  }
  const length = bytes.readUInt32BE(offset);
  const end = offset + recordHeaderBytes + length;
  if (length === 0 || end > bytes.length) {
    return null;
  }
  const payload = bytes.subarray(offset + recordHeaderBytes, end);
  return getCrc32c(payload) === bytes.readUInt32BE(offset + 4) ? payload : null;
}
