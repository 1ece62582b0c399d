import { inflateRawSync } from "node:zlib";
import { decode } from "cbor-x";
import type { RankHosting } from "@clementinemux/experts/hold/RankHosting";

const maxHostingBytes = 16_777_216;

/** Reads a placement that `packHosting` has packed. Throws for any other bytes. */
export function unpackHosting(bytes: Uint8Array): RankHosting {
  return decode(inflateRawSync(bytes, { maxOutputLength: maxHostingBytes })) as RankHosting;
}
