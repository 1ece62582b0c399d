import type { IncomingMessage } from "node:http";
import { findHeaderFault } from "./findHeaderFault";

const minFinalStatus = 200;

/**
 * Returns why a response that was read cannot be passed on, or null if it can. Node's parser accepts a status below
 * 100, and bytes in names and values of headers, for which its writer throws.
 */
export function findResponseFault({
  statusCode = 0,
  rawHeaders,
}: Pick<IncomingMessage, "statusCode" | "rawHeaders">): string | null {
  return statusCode < minFinalStatus ? `Invalid status ${statusCode}` : findHeaderFault(rawHeaders);
}
