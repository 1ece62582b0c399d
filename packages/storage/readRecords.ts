import { decode } from "cbor-x";
import { StorageError } from "./StorageError";
import { readPayload } from "./readPayload";
import { recordHeaderBytes } from "./recordHeaderBytes";

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
    offset += recordHeaderBytes + payload.length;
  }
  return { values, validBytes: offset };
}

function rejectDamageBeforeTail(file: string, bytes: Buffer, damageOffset: number): void {
  for (let offset = damageOffset + 1; offset < bytes.length; offset += 1) {
    if (readPayload(bytes, offset) !== null) {
      throw new StorageError(file, damageOffset, "corrupt record");
    }
  }
}
