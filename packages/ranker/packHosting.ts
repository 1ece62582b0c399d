import { deflateRawSync } from "node:zlib";
import { encode } from "cbor-x";
import type { RankHosting } from "@clementinemux/experts/hold/RankHosting";

/** Cache: a leader sends the same placement object to all ranks of a group. */
const packed = new WeakMap<RankHosting, Uint8Array>();

/** Compressed form of a placement, which must not be changed afterwards. */
export function packHosting(hosting: RankHosting): Uint8Array {
  const cached = packed.get(hosting);
  if (cached !== undefined) {
    return cached;
  }
  const bytes = deflateRawSync(encode(hosting));
  packed.set(hosting, bytes);
  return bytes;
}
