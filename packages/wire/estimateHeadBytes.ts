import type { IncomingMessage } from "node:http";

/** Objects of a request and its response without their headers. */
const objectBytes = 4096;
/** A string and its places in the list and the table of headers, beside its characters. */
const stringBytes = 64;

/** Estimates the memory that a request holds beside its body. */
export function estimateHeadBytes({ rawHeaders, url = "" }: IncomingMessage): number {
  let bytes = objectBytes + url.length;
  for (const text of rawHeaders) {
    bytes += stringBytes + text.length;
  }
  return bytes;
}
