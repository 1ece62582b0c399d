import { countHeadBytes } from "./countHeadBytes";

/** A string and its places in the list and the table of headers, beside its characters. */
const stringBytes = 64;

/** Estimates the memory that a list of header names and values takes. */
export function estimateHeaderBytes(headers: readonly string[]): number {
  return countHeadBytes(headers) + headers.length * stringBytes;
}
