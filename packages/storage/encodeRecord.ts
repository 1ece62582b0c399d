import { encode } from "cbor-x";
import { getCrc32c } from "./getCrc32c";

/** Encodes a record: length and CRC32C of the payload, as 4 bytes each, then the payload in CBOR. */
export function encodeRecord(value: unknown): Buffer {
  const payload = encode(value);
  const header = Buffer.allocUnsafe(8);
  header.writeUInt32BE(payload.length, 0);
  header.writeUInt32BE(getCrc32c(payload), 4);
  return Buffer.concat([header, payload]);
}
