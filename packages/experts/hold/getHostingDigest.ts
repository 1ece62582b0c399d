import { hashString } from "@clementinemux/common/hashString";
import type { RankHosting } from "./RankHosting";

const hexDigits = 8;
/** Cache: a leader sends the same placement object to all ranks of a group. */
const digests = new WeakMap<RankHosting, string>();

/**
 * Digest of a placement for logs: 8 hexadecimal digits, the same in all processes. It depends on the order in
 * which the experts are listed, which is the order sent to a rank. The placement must not be changed
 * afterwards.
 */
export function getHostingDigest(hosting: RankHosting): string {
  const cached = digests.get(hosting);
  if (cached !== undefined) {
    return cached;
  }
  const digest = hashString(JSON.stringify(hosting)).toString(16).padStart(hexDigits, "0");
  digests.set(hosting, digest);
  return digest;
}
