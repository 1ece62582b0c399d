import { decode } from "cbor-x";
import { readPayload } from "./readPayload";

/** The first record of a file, whatever follows it; null if it is not valid. */
export function readFirstRecord(bytes: Buffer): unknown {
  const payload = readPayload(bytes, 0);
  return payload === null ? null : decode(payload);
}
