import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import type { EngineFaults } from "@clementinemux/standins/engine/EngineFaults";
import { askModel } from "./askModel";
import { startFleet } from "./startFleet";

// Only a hang reaches this.
t.setTimeout(90_000);

const fastTimeouts = { firstTokenTimeoutMs: 300, tokenGapTimeoutMs: 200 };

// Guards against an answer that is changed on its way, with UTF-8 sequences and events broken anywhere.
t.test("pieces of any size give the same answer", async (t) => {
  const fleet = await startFleet();
  for (const pieceBytes of [1, 3, 7, 50]) {
    fleet.engines[0]!.faults.pieceBytes = pieceBytes;
    const answer = await askModel(fleet.urls[0]!, `pieces ${pieceBytes}`);
    t.same(answer.tokens, answer.expected);
    t.ok(answer.isWhole);
  }
  await fleet.stop();
});

const repairs: readonly (readonly [string, Partial<EngineFaults>])[] = [
  ["killed connection", { killAtToken: 5, remainingCount: 1 }],
  ["killed connection without engine resume", { killAtToken: 5, remainingCount: 1, refuseResume: true }],
  ["stream that ends early in good order", { endAtToken: 7, remainingCount: 1 }],
  ["missing final event", { omitFinal: true, remainingCount: 1 }],
  ["swapped tokens", { swapAtToken: 4, remainingCount: 1 }],
  ["doubled tokens", { duplicateTokens: true }],
  ["foreign event", { foreignAtToken: 6, remainingCount: 1 }],
];

// Guards against lost, doubled, reordered or foreign tokens after a fault of the engine or its connection.
for (const engineCount of [1, 2]) {
  for (const [name, faults] of repairs) {
    t.test(`${name}, ${engineCount} engines`, async (t) => {
      const fleet = await startFleet({ engineCount });
      for (const engine of fleet.engines) {
        Object.assign(engine.faults, faults);
      }
      const answer = await askModel(fleet.urls[0]!, name);
      t.same(answer.tokens, answer.expected);
      t.same(
        answer.indexes,
        answer.expected.map((_, index) => index),
      );
      t.ok(answer.isWhole);
      await fleet.stop();
    });
  }
}

// Guards against a sampled answer that is continued by tokens of another sample.
t.test("sampled stream that cannot be resumed ends with an error event", async (t) => {
  const fleet = await startFleet({ engineCount: 2 });
  for (const engine of fleet.engines) {
    Object.assign(engine.faults, { killAtToken: 5, remainingCount: 1, refuseResume: true });
  }
  const answer = await askModel(fleet.urls[0]!, "sampled", { body: { seed: undefined, temperature: 1 } });
  t.equal(answer.problem?.reason, "stream_not_resumable");
  t.notOk(answer.isWhole);
  t.equal(answer.tokens.length, 5);
  await fleet.stop();
});

// Guards against a sampled stream that is lost although another engine can import its KV cache.
t.test("sampled stream moves by KV import", async (t) => {
  // The weight makes the first engine the one that starts the stream.
  const fleet = await startFleet({ engineCount: 2, weights: { "engine-1": 0.01 } });
  Object.assign(fleet.engines[0]!.faults, { killAtToken: 5, remainingCount: 1 });
  const answer = await askModel(fleet.urls[0]!, "moves", { body: { seed: undefined, temperature: 1 } });
  t.ok(answer.isWhole);
  t.equal(answer.tokens.length, 20);
  t.equal(fleet.engines[0]!.counts.exported, 1);
  t.equal(fleet.engines[1]!.counts.imported, 1);
  await fleet.stop();
});

// Guards against an answer to another request being handed to the caller.
t.test("foreign answer never reaches the caller", async (t) => {
  const fleet = await startFleet();
  // The first request has used up the retries that the budget grants without earlier traffic.
  const reasons = { foreignAnswer: "targets_failed", foreignHeader: "retry_budget_spent" } as const;
  for (const fault of ["foreignAnswer", "foreignHeader"] as const) {
    fleet.engines[0]!.faults[fault] = true;
    const answer = await askModel(fleet.urls[0]!, "mine");
    t.equal(answer.status, 502);
    t.equal(answer.problem?.reason, reasons[fault]);
    fleet.engines[0]!.faults[fault] = false;
  }
  await fleet.stop();
});

// Guards against a caller that waits for a frozen engine until its deadline.
t.test("frozen engine: the stream goes on elsewhere", async (t) => {
  const fleet = await startFleet({ engineCount: 2, defaults: fastTimeouts, engine: { tokenIntervalMs: 10 } });
  const pending = askModel(fleet.urls[0]!, "frozen", { tokenCount: 30 });
  await delay(120);
  const busy = fleet.engines.find(({ counts }) => counts.started > 0)!;
  busy.faults.frozen = true;
  const answer = await pending;
  t.same(answer.tokens, answer.expected);
  t.ok(answer.isWhole);
  await fleet.stop();
});

// Guards against waiting on connections that went silent while new ones work, and against giving up the
// target for them.
t.test("silent connections: the only target is used on new ones", async (t) => {
  const fleet = await startFleet({ defaults: { ...fastTimeouts, permitMaxAgeMs: 3000 } });
  t.ok((await askModel(fleet.urls[0]!, "before")).isWhole);
  fleet.engines[0]!.silenceConnections();
  const answer = await askModel(fleet.urls[0]!, "after");
  t.same(answer.tokens, answer.expected);
  t.ok(answer.isWhole);
  await fleet.stop();
});

// Guards against an answer without streaming that differs from the stream, or is cut by a fault.
t.test("whole answer is assembled over a killed connection", async (t) => {
  const fleet = await startFleet();
  Object.assign(fleet.engines[0]!.faults, { killAtToken: 5, remainingCount: 1 });
  const answer = await askModel(fleet.urls[0]!, "whole", { body: { stream: false } });
  const document = JSON.parse(answer.text) as {
    choices: { message: { content: string } }[];
    usage: { completion_tokens: number };
  };
  t.equal(document.choices[0]!.message.content, answer.expected.join(""));
  t.equal(document.usage.completion_tokens, 20);
  await fleet.stop();
});
