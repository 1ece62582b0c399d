import { hashString } from "@clementinemux/common/hashString";
import type { RankHosting } from "./RankHosting";

const hexDigits = 8;
/** A lead gives one placement to all ranks of a group, so it is hashed once. */
const digests = new WeakMap<RankHosting, string>();

/**
 * Digest of a placement for logs: 8 hexadecimal digits, the same in all processes. It covers the experts in the order in
 * which they are listed, as they are sent to a rank. The placement must not be changed afterwards.
 */
export function getHostingDigest(hosting: RankHosting): string {
  const known = digests.get(hosting);
  if (known !== undefined) {
    return known;
  }
  const digest = hashString(JSON.stringify(hosting)).toString(16).padStart(hexDigits, "0");
  digests.set(hosting, digest);
  return digest;
}
