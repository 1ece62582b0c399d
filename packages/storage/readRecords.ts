import { decode } from "cbor-x";
import { StorageError } from "./StorageError";
import { getCrc32c } from "./getCrc32c";

const headerBytes = 8;

/**
 * Reads the records of a file. A damaged end without any whole record after it is a torn write that was never
 * acknowledged, and is cut off. Damage with a whole record after it throws a `StorageError` with its offset.
 */
export function readRecords(
  file: string,
  bytes: Buffer,
): { readonly values: unknown[]; readonly validBytes: number } {
  const values: unknown[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const payload = readPayload(bytes, offset);
    if (payload === null) {
      refuseDamageBeforeTail(file, bytes, offset);
      break;
    }
    values.push(decode(payload));
    offset += headerBytes + payload.length;
  }
  return { values, validBytes: offset };
}

function readPayload(bytes: Buffer, offset: number): Buffer | null {
  if (offset + headerBytes > bytes.length) {
    return null;
  }
  const length = bytes.readUInt32BE(offset);
  const end = offset + headerBytes + length;
  if (length === 0 || end > bytes.length) {
    return null;
  }
  const payload = bytes.subarray(offset + headerBytes, end);
  return getCrc32c(payload) === bytes.readUInt32BE(offset + 4) ? payload : null;
}

function refuseDamageBeforeTail(file: string, bytes: Buffer, damagedAt: number): void {
  for (let offset = damagedAt + 1; offset < bytes.length; offset += 1) {
    if (readPayload(bytes, offset) !== null) {
      throw new StorageError(file, damagedAt, "corrupt record");
    }
  }
}
