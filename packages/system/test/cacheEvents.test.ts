import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { SystemFleet } from "@clementinemux/system/SystemFleet";

// Reached only when a test hangs.
t.setTimeout(100_000);

const maxAttempts = 20;

/**
 * Sends a prompt and returns the target that served it. Retries a rejected request, since the prompts of this
 * test together exceed the limit of their team.
 */
async function sendPrompt(url: string, prompt: string): Promise<string> {
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const response = await fetch(`${url}/v1/completions`, {
      method: "POST",
      body: JSON.stringify({ model: "demo", prompt, max_tokens: 2, stream: true }),
    });
    await response.text();
    if (response.ok) {
      return response.headers.get("clementinemux-target") ?? "";
    }
    await delay(Number(response.headers.get("retry-after") ?? 1) * 1000);
  }
  throw new Error(`${url} rejected a prompt ${maxAttempts} times`);
}

// Guards against cache events that do not reach the routing of an entry that has not sent the prefix itself,
// and against routing that fails when events are late or lost.
t.test("repeated prefix goes to the engine that has it", async (t) => {
  const fleet = await SystemFleet.start({
    engine: {
      ...{ tokenIntervalMs: 5, firstTokenMs: 5, prefillPerThousandMs: 300 },
      ...{ cacheEventDelayMs: 300, cacheEventLossShare: 0.2 },
    },
  });
  t.teardown(() => fleet.stop());
  const [firstUrl = "", secondUrl = ""] = fleet.entryUrls;
  // Prompts without common prefixes let both entries measure that a long prompt takes time.
  for (let index = 0; index < 6; index += 1) {
    await Promise.all(
      fleet.entryUrls.map((url, entry) => sendPrompt(url, `warm-up ${entry} ${index} `.padEnd(8000, "abc "))),
    );
  }
  const prefixes = Array.from({ length: 6 }, (_, index) => `instructions ${index} `.padEnd(8000, "xyz "));
  const holders: string[] = [];
  for (const prefix of prefixes) {
    holders.push(await sendPrompt(firstUrl, `${prefix}first question`));
  }
  // The engine sends the events 300 ms late, then the agent polls the engine and the entry polls the agent.
  await delay(3000);
  const targets: string[] = [];
  for (const prefix of prefixes) {
    targets.push(await sendPrompt(secondUrl, `${prefix}second question`));
  }
  t.same(targets, holders);
});
