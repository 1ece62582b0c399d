/** A string and its places in the list and the table of headers, beside its characters. */
const stringBytes = 64;

/** Estimates the memory that a list of header names and values takes. */
export function estimateHeaderBytes(headers: readonly string[]): number {
  let bytes = 0;
  for (const text of headers) {
    bytes += stringBytes + text.length;
  }
  return bytes;
}
