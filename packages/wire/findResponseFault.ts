import type { IncomingMessage } from "node:http";
import { findHeaderFault } from "./findHeaderFault";

const minFinalStatus = 200;
const maxStatus = 599;

/**
 * Returns why a response that was read cannot be passed on, or null if it can. Node's parser accepts any status
 * below 10000, and bytes in names and values of headers for which its writer throws.
 */
export function findResponseFault({
  statusCode = 0,
  rawHeaders,
}: Pick<IncomingMessage, "statusCode" | "rawHeaders">): string | null {
  const isValid = statusCode >= minFinalStatus && statusCode <= maxStatus;
  return isValid ? findHeaderFault(rawHeaders) : `Invalid status ${statusCode}`;
}
