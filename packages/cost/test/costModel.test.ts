import t from "tap";
import { CostModel } from "@clementinemux/cost/CostModel";
import { WorkLedger } from "@clementinemux/cost/WorkLedger";
import { createRandom } from "@clementinemux/common/createRandom";
import { estimateFinishMs } from "@clementinemux/cost/estimateFinishMs";

const engine = {
  ...{ slots: 7, kvCapacityTokens: 100_000, stride: 4, stepMs: 4.55, perSequenceMs: 1.36 },
  ...{ perThousandContextMs: 0.03, readPerSecond: 60_000, chunkTokens: 512 },
  ...{ meanPromptTokens: 800, meanAnswerTokens: 100, experts: null },
};
const request = { route: "r", engine, slots: 7, promptTokens: 600, hintTokens: 0, maxAnswerTokens: 0 };

/** Teaches answers of the given lengths, each with a hint; returns the model. */
function learn(lengths: readonly number[], getHint: (tokens: number) => number): CostModel {
  const model = new CostModel();
  for (const [at, tokens] of lengths.entries()) {
    model.note({ ...request, hintTokens: getHint(tokens) }, tokens, 1000, at * 100);
  }
  return model;
}

function drawLengths(count: number): number[] {
  const random = createRandom(3);
  return Array.from({ length: count }, () => 8 + random() * 300);
}

// Guards against a restarted gateway that takes all requests for equal until it has learned.
t.test("parameters and hint decide before anything was learned", (t) => {
  const model = new CostModel();
  const short = model.estimate({ ...request, promptTokens: 100, hintTokens: 8 });
  const long = model.estimate({ ...request, promptTokens: 2880, hintTokens: 232 });
  t.ok(long.totalMs > 10 * short.totalMs, `${long.totalMs} and ${short.totalMs} ms`);
  t.equal(Math.round(long.prefillMs), 48);
  t.ok(long.answerTokens > 120 && long.answerTokens < 400, `${long.answerTokens} tokens`);
  t.equal(model.estimate({ ...request, hintTokens: 5000, maxAnswerTokens: 64 }).answerTokens, 64);
  t.end();
});

t.test("a bias of the hints is learned, and a few outliers do not move it", (t) => {
  const model = learn(drawLengths(300), (tokens) => tokens * 2);
  t.ok(Math.abs(model.estimate({ ...request, hintTokens: 200 }).answerTokens - 100) < 20);
  for (let index = 0; index < 15; index += 1) {
    model.note({ ...request, hintTokens: 1 }, 100_000, 1000, 30_000);
  }
  const { answerTokens } = model.estimate({ ...request, hintTokens: 200 });
  t.ok(answerTokens > 75 && answerTokens < 150, `${answerTokens} tokens`);
  t.end();
});

// Guards against callers whose hints say nothing, or who state lengths that no engine can hold.
t.test("false hints count less than the lengths that were seen", (t) => {
  const random = createRandom(4);
  const lengths = Array.from({ length: 400 }, () => 90 + random() * 20);
  const model = learn(lengths, () => 2 ** (random() * 12));
  for (const hintTokens of [1, 10, 1000, 1e300]) {
    const { answerTokens } = model.estimate({ ...request, hintTokens });
    t.ok(answerTokens > 60 && answerTokens < 160, `${answerTokens} tokens for a hint of ${hintTokens}`);
  }
  const { totalMs } = model.estimate({ ...request, promptTokens: 1e300, hintTokens: 1e300 });
  t.ok(totalMs < 10_000, `${totalMs} ms`);
  t.end();
});

t.test("old lengths are forgotten", (t) => {
  const model = learn(new Array<number>(500).fill(20), () => 0);
  t.ok(Math.abs(model.estimate(request).answerTokens - 20) < 5);
  for (let index = 0; index < 1000; index += 1) {
    model.note(request, 200, 1000, 60_000 + index * 100);
  }
  t.ok(model.estimate(request).answerTokens > 150);
  t.end();
});

// Guards against memory that grows with the routes of a document of which each is used once.
t.test("routes that are not used are dropped first", (t) => {
  const model = new CostModel();
  for (let index = 0; index < 3000; index += 1) {
    model.note({ ...request, route: `r${index}` }, 300, 1000, index);
    model.note({ ...request, route: "busy" }, 300, 1000, index);
  }
  t.equal(model.routeCount, 1024);
  t.ok(model.estimate({ ...request, route: "busy" }).answerTokens > 200);
  t.end();
});

t.test("work of targets without engine parameters is the duration of the route", (t) => {
  const model = new CostModel();
  for (let index = 0; index < 100; index += 1) {
    model.note({ ...request, engine: null, slots: 6 }, 0, index % 20 === 0 ? 60_000 : 300, index);
  }
  const work = model.estimate({ ...request, engine: null, slots: 6 });
  t.ok(Math.abs(work.aloneMs - 300) < 40, `${work.aloneMs} ms`);
  t.equal(work.totalMs, work.aloneMs / 6);
  t.end();
});

// Guards against a stream that is about to end and weighs as much as one that has just begun.
t.test("events lower the remaining work, and the end frees the rest", (t) => {
  const ledger = new WorkLedger();
  const work = new CostModel().estimate({ ...request, hintTokens: 40, maxAnswerTokens: 40 });
  const running = ledger.begin("t", work, (done) => done + 20);
  t.equal(ledger.get("t").leftMs, work.totalMs);
  running.noteEvent();
  t.equal(ledger.get("t").prefillMs, 0);
  let lastMs = work.totalMs;
  for (let event = 1; event < 9; event += 1) {
    t.ok(ledger.get("t").leftMs < lastMs);
    lastMs = ledger.get("t").leftMs;
    running.noteEvent();
  }
  running.noteEvent();
  running.noteEvent();
  t.ok(ledger.get("t").leftMs > 0, "a stream that is longer than expected still has work");
  t.ok(ledger.get("t").heldTokens > work.promptTokens + work.answerTokens);
  running.end();
  running.end();
  running.noteEvent();
  const { requests, leftMs, heldTokens } = ledger.get("t");
  t.same([requests, Math.round(leftMs), Math.round(heldTokens)], [0, 0, 0]);
  ledger.removeIdle();
  t.same([...ledger.entries()], []);
  t.end();
});

// Guards against a stream of unknown length that counts as almost done as soon as it is as long as most others.
t.test("the less sure a length is, the more remains of it", (t) => {
  const random = createRandom(6);
  const lengths = Array.from({ length: 400 }, () => 8 * 2 ** (random() * 6));
  const getLeftShare = (model: CostModel, hintTokens: number): number => {
    const work = model.estimate({ ...request, hintTokens });
    const running = new WorkLedger().begin("t", work, (done) => done + 100);
    for (let tokens = engine.stride; tokens < work.answerTokens * 0.8; tokens += engine.stride) {
      running.noteEvent();
    }
    return running.leftMs / work.decodeMs;
  };
  t.ok(
    getLeftShare(
      learn(lengths, (tokens) => tokens),
      100,
    ) < 0.4,
    "by an exact hint",
  );
  t.ok(
    getLeftShare(
      learn(lengths, () => 0),
      0,
    ) > 0.7,
    "without a hint",
  );
  t.end();
});

// A short request is delayed by each other one, however long that runs; a long one only by the work that is left.
t.test("the expected end depends on the length of the request", (t) => {
  const model = new CostModel();
  const short = model.estimate({ ...request, hintTokens: 8, maxAnswerTokens: 16 });
  const long = model.estimate({ ...request, hintTokens: 400, maxAnswerTokens: 800 });
  const fewLong = { requests: 2, leftMs: 1600, prefillMs: 0 };
  const manyEnding = { requests: 5, leftMs: 150, prefillMs: 0 };
  t.ok(estimateFinishMs(short, fewLong) < estimateFinishMs(short, manyEnding));
  t.ok(estimateFinishMs(long, fewLong) > estimateFinishMs(long, manyEnding));
  t.end();
});
