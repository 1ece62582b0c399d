import type { IncomingHttpHeaders } from "node:http";
import { findHeaderFault } from "@clementinemux/wire/findHeaderFault";

const minFinalStatus = 200;
/** Statuses whose responses have no body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
 * Returns why a response head cannot be the one of an agent, or null if it can. An agent states the end of each body;
 * without that, a reset of the connection would look like the end.
 */
export function findHeadFault(method: string, status: number, headers: IncomingHttpHeaders): string | null {
  if (status < minFinalStatus) {
    return `Invalid status ${status}`;
  }
  const hasBody = method !== "HEAD" && !bodilessStatuses.has(status);
  const isFramed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
  if (hasBody && !isFramed) {
    return "response with neither length nor chunks";
  }
  return findHeaderFault(["content-type", headers["content-type"] ?? ""]);
}
