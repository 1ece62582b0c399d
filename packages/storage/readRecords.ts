import { decode } from "cbor-x";
import { StorageError } from "./StorageError";
import { getCrc32c } from "./getCrc32c";

const headerBytes = 8;

/**
 * Reads the records of a file. A corrupt record that no valid record follows is a torn write, which was never
 * acknowledged: `validBytes` ends before it. A corrupt record before a valid one throws a `StorageError` with
 * its offset.
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
      rejectDamageBeforeTail(file, bytes, offset);
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

function rejectDamageBeforeTail(file: string, bytes: Buffer, damageOffset: number): void {
  for (let offset = damageOffset + 1; offset < bytes.length; offset += 1) {
    if (readPayload(bytes, offset) !== null) {
      throw new StorageError(file, damageOffset, "corrupt record");
    }
  }
}
