import { createHash } from "node:crypto";
import { requestKeyPrefix } from "./requestKeyPrefix";

const keyBytes = 16;

/** Key of a request by the fields that tell it from others, and its body. */
export function createRequestKey(fields: readonly (string | null)[], body: Uint8Array): string {
  // JSON keeps the fields apart, so that no caller can build the key of another one's request.
  const hash = createHash("sha256")
    .update(`${JSON.stringify(fields)}\n`)
    .update(body);
  return requestKeyPrefix + hash.digest().subarray(0, keyBytes).toString("base64url");
}
