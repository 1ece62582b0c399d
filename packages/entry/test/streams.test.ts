import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import type { EngineFaults } from "@clementinemux/standins/engine/EngineFaults";
import { requestModel } from "./requestModel";
import { startFleet } from "./startFleet";

// Reached only when a test hangs.
t.setTimeout(90_000);

const fastTimeouts = { firstTokenTimeoutMs: 300, tokenGapTimeoutMs: 200 };

// Guards against responses corrupted in transit when UTF-8 sequences and events are split anywhere.
t.test("pieces of any size give the same response", async (t) => {
  const fleet = await startFleet();
  for (const pieceBytes of [1, 3, 7, 50]) {
    fleet.engines[0]!.faults.pieceBytes = pieceBytes;
    const response = await requestModel(fleet.urls[0]!, `pieces ${pieceBytes}`);
    t.same(response.tokens, response.expected);
    t.ok(response.isComplete);
  }
  await fleet.stop();
});

const repairableFaults: readonly (readonly [string, Partial<EngineFaults>])[] = [
  ["killed connection", { killAtToken: 5, remainingCount: 1 }],
  ["killed connection without engine resume", { killAtToken: 5, remainingCount: 1, refuseResume: true }],
  ["stream that ends early without an error", { endAtToken: 7, remainingCount: 1 }],
  ["missing final event", { omitFinal: true, remainingCount: 1 }],
  ["swapped tokens", { swapAtToken: 4, remainingCount: 1 }],
  ["duplicated tokens", { duplicateTokens: true }],
  ["foreign event", { foreignAtToken: 6, remainingCount: 1 }],
];

// Guards against lost, duplicated, reordered or foreign tokens after a fault of the engine or its connection.
for (const engineCount of [1, 2]) {
  for (const [name, faults] of repairableFaults) {
    t.test(`${name}, ${engineCount} engines`, async (t) => {
      const fleet = await startFleet({ engineCount });
      for (const engine of fleet.engines) {
        Object.assign(engine.faults, faults);
      }
      const response = await requestModel(fleet.urls[0]!, name);
      t.same(response.tokens, response.expected);
      t.same(
        response.indexes,
        response.expected.map((_, index) => index),
      );
      t.ok(response.isComplete);
      await fleet.stop();
    });
  }
}

// Guards against a sampled response continued with tokens of another sample.
t.test("sampled stream that cannot be resumed ends with an error event", async (t) => {
  const fleet = await startFleet({ engineCount: 2 });
  for (const engine of fleet.engines) {
    Object.assign(engine.faults, { killAtToken: 5, remainingCount: 1, refuseResume: true });
  }
  const response = await requestModel(fleet.urls[0]!, "sampled", {
    body: { seed: undefined, temperature: 1 },
  });
  t.equal(response.problem?.reason, "stream_not_resumable");
  t.notOk(response.isComplete);
  t.equal(response.tokens.length, 5);
  await fleet.stop();
});

// Guards against losing a sampled stream although another engine can import its KV cache.
t.test("sampled stream is resumed by KV import", async (t) => {
  // With this weight, the first engine starts the stream.
  const fleet = await startFleet({ engineCount: 2, weights: { "engine-1": 0.01 } });
  Object.assign(fleet.engines[0]!.faults, { killAtToken: 5, remainingCount: 1 });
  const response = await requestModel(fleet.urls[0]!, "moves", { body: { seed: undefined, temperature: 1 } });
  t.ok(response.isComplete);
  t.equal(response.tokens.length, 20);
  t.equal(fleet.engines[0]!.counts.exported, 1);
  t.equal(fleet.engines[1]!.counts.imported, 1);
  await fleet.stop();
});

// Guards against the response to another request being sent to the caller.
t.test("foreign response never reaches the caller", async (t) => {
  const fleet = await startFleet();
  // The first request uses up the retries that the budget allows without earlier traffic.
  const reasons = { foreignAnswer: "targets_failed", foreignHeader: "retry_budget_spent" } as const;
  for (const fault of ["foreignAnswer", "foreignHeader"] as const) {
    fleet.engines[0]!.faults[fault] = true;
    const response = await requestModel(fleet.urls[0]!, "mine");
    t.equal(response.status, 502);
    t.equal(response.problem?.reason, reasons[fault]);
    fleet.engines[0]!.faults[fault] = false;
  }
  await fleet.stop();
});

// Guards against a caller that waits for a frozen engine until the deadline.
t.test("frozen engine: the stream continues on another engine", async (t) => {
  const fleet = await startFleet({ engineCount: 2, defaults: fastTimeouts, engine: { tokenIntervalMs: 10 } });
  const pending = requestModel(fleet.urls[0]!, "frozen", { tokenCount: 30 });
  await delay(120);
  const busy = fleet.engines.find(({ counts }) => counts.started > 0)!;
  busy.faults.frozen = true;
  const response = await pending;
  t.same(response.tokens, response.expected);
  t.ok(response.isComplete);
  await fleet.stop();
});

// Guards against waiting on unresponsive connections while new ones work, and against abandoning the target
// because of them.
t.test("unresponsive connections: the only target is used over new ones", async (t) => {
  const fleet = await startFleet({ defaults: { ...fastTimeouts, permitMaxAgeMs: 3000 } });
  t.ok((await requestModel(fleet.urls[0]!, "before")).isComplete);
  fleet.engines[0]!.makeConnectionsUnresponsive();
  const response = await requestModel(fleet.urls[0]!, "after");
  t.same(response.tokens, response.expected);
  t.ok(response.isComplete);
  await fleet.stop();
});

// Guards against a response without streaming that differs from the stream, or is truncated by a fault.
t.test("full response is assembled despite a killed connection", async (t) => {
  const fleet = await startFleet();
  Object.assign(fleet.engines[0]!.faults, { killAtToken: 5, remainingCount: 1 });
  const response = await requestModel(fleet.urls[0]!, "whole", { body: { stream: false } });
  const document = JSON.parse(response.text) as {
    choices: { message: { content: string } }[];
    usage: { completion_tokens: number };
  };
  t.equal(document.choices[0]!.message.content, response.expected.join(""));
  t.equal(document.usage.completion_tokens, 20);
  await fleet.stop();
});
