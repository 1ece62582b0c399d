import type { IncomingHttpHeaders } from "node:http";
import { findHeaderFault } from "@clementinemux/wire/findHeaderFault";

const minFinalStatus = 200;

/** Returns why a response head cannot be the one of an agent, or null if it can. */
export function findHeadFault(status: number, headers: IncomingHttpHeaders): string | null {
  return status < minFinalStatus
    ? `Invalid status ${status}`
    : findHeaderFault(["content-type", headers["content-type"] ?? ""]);
}
