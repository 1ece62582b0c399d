import type { IncomingHttpHeaders } from "node:http";
import { findResponseFault } from "@clementinemux/wire/findResponseFault";

/** Returns why a response head cannot be the one of an agent, or null if it can. */
export function findHeadFault(statusCode: number, headers: IncomingHttpHeaders): string | null {
  return findResponseFault({ statusCode, rawHeaders: ["content-type", headers["content-type"] ?? ""] });
}
