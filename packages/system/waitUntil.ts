import { setTimeout as delay } from "node:timers/promises";

const pollIntervalMs = 25;

/** Polls until `poll` returns a value other than null; an error that it throws counts as null. */
export async function waitUntil<Value>(
  description: string,
  poll: () => Promise<Value | null> | Value | null,
  timeoutMs = 30_000,
): Promise<Value> {
  const deadlineMs = performance.now() + timeoutMs;
  let lastError = "";
  while (performance.now() < deadlineMs) {
    try {
      const value = await poll();
      if (value !== null) {
        return value;
      }
    } catch (error) {
      lastError = `: ${String(error)}`;
    }
    await delay(pollIntervalMs);
  }
  throw new Error(`no ${description} within ${timeoutMs} ms${lastError}`);
}
