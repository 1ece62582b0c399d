import { setTimeout as delay } from "node:timers/promises";

/** Times between the looks at a process, which may close its connections before it stops listening. */
const looksMs: readonly number[] = [0, 10, 20];

/** Resolves with whether one of several looks within 30 ms shows that a process has stopped listening. */
export async function hasStoppedListening(look: () => Promise<boolean>): Promise<boolean> {
  for (const pauseMs of looksMs) {
    await delay(pauseMs, undefined, { ref: false });
    if (await look()) {
      return true;
    }
  }
  return false;
}
