import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import type { Test } from "tap";
import { GroupRecovery } from "@clementinemux/gateway/GroupRecovery";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { rankService } from "./rankService";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

const formMs = 600;
/** A caller that has already waited for a second. */
const returning = { path: "/p0/", headers: { "x-left": "7000" } };

async function start(t: Test, attempts = 2) {
  const state = { isRecovering: false, rejectsOnce: false };
  const targets = [0, 1, 2].map(
    () =>
      new TestTarget(({ id }, socket) => {
        const isRejected = state.isRecovering || state.rejectsOnce;
        state.rejectsOnce = false;
        socket.write(isRejected ? responses.notRun(id) : responses.whole(id, `for ${id}`));
      }),
  );
  const document = createDocument(1, [{ timeoutMs: 8000, attempts }]);
  const { call, stop } = await startGateway({ ...document, services: [rankService] }, targets);
  t.teardown(stop);
  await call({ path: "/p0/", headers: { "x-left": "8000" } }, "first");
  const countSends = (): number => targets.reduce((sum, { requests }) => sum + requests.length, 0);
  return { state, call, countSends };
}

// Guards against callers that were cut off once and are finally rejected, because the ranks need a moment to
// recover.
t.test("returning callers wait until the group has recovered", async (t) => {
  const { state, call, countSends } = await start(t);
  state.isRecovering = true;
  const before = countSends();
  const calls = Array.from({ length: 12 }, (_, index) => call(returning, `r-${index}`));
  await delay(formMs);
  const probes = countSends() - before;
  state.isRecovering = false;
  const got = await Promise.all(calls);
  t.same(
    got.map(({ status, body }) => [status, body]),
    got.map((_, index) => [200, `for r-${index}`]),
  );
  t.ok(probes <= 12 + 2 + formMs / 100, `guards against a flood of probes: ${probes}`);
});

// Guards against requests that are kept waiting without a chance of success.
t.test("a group that does not recover rejects with a Retry-After", async (t) => {
  const { state, call } = await start(t);
  state.isRecovering = true;
  const startedAtMs = performance.now();
  const late = await call(returning, "late");
  t.equal(late.status, 503);
  t.ok(Number(late.headers["retry-after"]) > 0);
  t.ok(performance.now() - startedAtMs < 1500);
  const sentAtMs = performance.now();
  const { status } = await call({ path: "/p0/", headers: { "x-left": "8000" } }, "new");
  t.equal(status, 503);
  t.ok(
    performance.now() - sentAtMs < 400,
    "a request that can still be on time elsewhere is rejected at once",
  );
});

// Guards against a request that waited for its group and runs although it was rejected.
t.test("a rejected request is not sent later", async (t) => {
  const { state, call, countSends } = await start(t, 1);
  state.isRecovering = true;
  const { status } = await call(returning, "late");
  t.equal(status, 503);
  const sends = countSends();
  state.isRecovering = false;
  await delay(300);
  t.equal(countSends(), sends);
});

t.test("a single rejection does not mark the group as recovering", (t) => {
  const recovery = new GroupRecovery();
  recovery.noteRejected(0);
  t.notOk(recovery.isRecovering);
  t.ok(recovery.takeProbe(0));
  recovery.noteRejected(10);
  t.ok(recovery.isRecovering);
  t.notOk(recovery.takeProbe(100), "the next probe is not due");
  t.ok(recovery.takeProbe(110));
  t.notOk(recovery.takeProbe(111), "one probe at a time");
  recovery.noteAccepted();
  t.ok(recovery.takeProbe(112), "all requests proceed at once");
  t.end();
});

// Guards against requests that wait or are rejected because of one group while another one is known to be
// healthy.
t.test("a request rejected by one group goes to another at once", async (t) => {
  const { state, call } = await start(t);
  state.isRecovering = true;
  await call({ path: "/p0/", headers: { "x-left": "8000" } }, "before");
  state.isRecovering = false;
  state.rejectsOnce = true;
  const sentAtMs = performance.now();
  const { status } = await call(returning, "new");
  t.equal(status, 200);
  t.ok(performance.now() - sentAtMs < 250);
});
