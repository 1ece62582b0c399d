import { createHash } from "node:crypto";

/** SHA-256 of encoded content, in hexadecimal. */
export function getBytesDigest(bytes: Uint8Array): string {
  return createHash("sha256").update(bytes).digest("hex");
}
