import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import type { Test } from "tap";
import { GroupForming } from "@clementinemux/gateway/GroupForming";
import type { RoutedService } from "@clementinemux/routes/RoutedService";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { answers } from "./answers";
import { startGateway } from "./startGateway";

const formMs = 600;
const experts = {
  ...{ layerSets: 4, expertsPerSet: 64, placements: 11, spare: 2, expertMb: 2500, expertShare: 0.8 },
  ...{ linkMbps: 180_000, formMs },
};
const engine = {
  ...{
    slots: 8,
    kvCapacityTokens: 100_000,
    stride: 4,
    stepMs: 4.5,
    perSequenceMs: 1,
    perThousandContextMs: 0,
  },
  ...{ readPerSecond: 60_000, chunkTokens: 512, meanPromptTokens: 800, meanAnswerTokens: 100, experts },
};
const service: RoutedService = { name: "app", healthPath: "/health", maxConnections: 100, engine };
/** A caller that has waited for a second before. */
const returning = { path: "/p0/", headers: { "x-left": "7000" } };

async function start(t: Test, attempts = 2) {
  const state = { isForming: false, turnsAwayOnce: false };
  const targets = [0, 1, 2].map(
    () =>
      new TestTarget(({ id }, socket) => {
        const isTurnedAway = state.isForming || state.turnsAwayOnce;
        state.turnsAwayOnce = false;
        socket.write(isTurnedAway ? answers.notRun(id) : answers.whole(id, `for ${id}`));
      }),
  );
  const document = createDocument(1, [{ timeoutMs: 8000, attempts }]);
  const { call, stop } = await startGateway({ ...document, services: [service] }, targets);
  t.teardown(stop);
  await call({ path: "/p0/", headers: { "x-left": "8000" } }, "first");
  const countSends = (): number => targets.reduce((sum, { requests }) => sum + requests.length, 0);
  return { state, call, countSends };
}

// Guards against callers that have been cut off once and are refused for good, because the ranks need a moment.
t.test("callers that return wait until the group is there", async (t) => {
  const { state, call, countSends } = await start(t);
  state.isForming = true;
  const before = countSends();
  const calls = Array.from({ length: 12 }, (_, index) => call(returning, `r-${index}`));
  await delay(formMs);
  const tries = countSends() - before;
  state.isForming = false;
  const got = await Promise.all(calls);
  t.same(
    got.map(({ status, body }) => [status, body]),
    got.map((_, index) => [200, `for r-${index}`]),
  );
  t.ok(tries <= 12 + 2 + formMs / 100, `guards against a flood of tries: ${tries}`);
});

// Guards against requests that are held although nothing comes of it.
t.test("a group that does not come back refuses with a time to return", async (t) => {
  const { state, call } = await start(t);
  state.isForming = true;
  const startedAtMs = performance.now();
  const late = await call(returning, "late");
  t.equal(late.status, 503);
  t.ok(Number(late.headers["retry-after"]) > 0);
  t.ok(performance.now() - startedAtMs < 1500);
  const askedAtMs = performance.now();
  const { status } = await call({ path: "/p0/", headers: { "x-left": "8000" } }, "new");
  t.equal(status, 503);
  t.ok(performance.now() - askedAtMs < 400, "one that can still be on time elsewhere is told at once");
});

// Guards against a request that has waited for its group and runs although it was refused.
t.test("what is refused is not sent later", async (t) => {
  const { state, call, countSends } = await start(t, 1);
  state.isForming = true;
  const { status } = await call(returning, "late");
  t.equal(status, 503);
  const sends = countSends();
  state.isForming = false;
  await delay(300);
  t.equal(countSends(), sends);
});

t.test("one rank that turns away is no group that forms", (t) => {
  const forming = new GroupForming();
  forming.noteTurnedAway(0);
  t.notOk(forming.isForming);
  t.ok(forming.takeTry(0));
  forming.noteTurnedAway(10);
  t.ok(forming.isForming);
  t.notOk(forming.takeTry(100), "the next try is not due");
  t.ok(forming.takeTry(110));
  t.notOk(forming.takeTry(111), "one request tries at a time");
  forming.noteServed();
  t.ok(forming.takeTry(112), "all go on at once");
  t.end();
});

// Guards against requests that wait or are refused on account of one group, while another one is known to be sound.
t.test("a request that one group turns away goes to another at once", async (t) => {
  const { state, call } = await start(t);
  state.isForming = true;
  await call({ path: "/p0/", headers: { "x-left": "8000" } }, "before");
  state.isForming = false;
  state.turnsAwayOnce = true;
  const askedAtMs = performance.now();
  const { status } = await call(returning, "new");
  t.equal(status, 200);
  t.ok(performance.now() - askedAtMs < 250);
});
