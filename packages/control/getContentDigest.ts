import { createHash } from "node:crypto";

/** Computes a digest of a JSON value that does not depend on the order of its keys. */
export function getContentDigest(value: unknown): string {
  return createHash("sha256").update(JSON.stringify(value, sortKeys)).digest("hex");
}

function sortKeys(_key: string, value: unknown): unknown {
  if (value === null || typeof value !== "object" || Array.isArray(value)) {
    return value;
  }
  return Object.fromEntries(Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1)));
}
