import type { Client } from "./Client";
import type { Runner } from "./Runner";

/**
 * Requests from kept connections that a sound runner ran, and whose connection was closed without an answer. Those sent
 * before `sinceMs` are left out.
 */
export function findLostRequests(
  clients: readonly Client[],
  soundRunners: readonly Runner[],
  sinceMs: number,
): string[] {
  const ran = new Set(soundRunners.flatMap(({ runs }) => runs.map(({ request }) => request)));
  return clients
    .flatMap(({ outcomes }) => outcomes)
    .filter(({ isKept, status, sentAtMs, request }) => {
      return isKept && status === null && sentAtMs >= sinceMs && ran.has(request);
    })
    .map(({ request }) => request);
}
