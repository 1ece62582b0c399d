import type { IncomingMessage } from "node:http";
import { estimateHeaderBytes } from "./estimateHeaderBytes";

/** Objects of a request and its response without their headers. */
const objectBytes = 4096;

/** Estimates the memory that a request holds beside its body. */
export function estimateHeadBytes({ rawHeaders, url = "" }: IncomingMessage): number {
  return objectBytes + url.length + estimateHeaderBytes(rawHeaders);
}
