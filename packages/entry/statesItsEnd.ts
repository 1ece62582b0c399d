import type { IncomingHttpHeaders } from "node:http";

/** Statuses whose responses have no body. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Whether a response states where its body ends. Without that, a reset of the connection would look like the end. */
export function statesItsEnd(method: string, status: number, headers: IncomingHttpHeaders): boolean {
  const isBodiless = method === "HEAD" || bodilessStatuses.has(status);
  return isBodiless || headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}
