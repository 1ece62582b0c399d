import { setTimeout as delay } from "node:timers/promises";

const stepMs = 25;

/** Repeats a look until it gives a value other than null; a look that throws counts as null. */
export async function waitUntil<Value>(
  what: string,
  look: () => Promise<Value | null> | Value | null,
  timeoutMs = 30_000,
): Promise<Value> {
  const givenUpAtMs = performance.now() + timeoutMs;
  let lastError = "";
  while (performance.now() < givenUpAtMs) {
    try {
      const value = await look();
      if (value !== null) {
        return value;
      }
    } catch (error) {
      lastError = `: ${String(error)}`;
    }
    await delay(stepMs);
  }
  throw new Error(`no ${what} within ${timeoutMs} ms${lastError}`);
}
