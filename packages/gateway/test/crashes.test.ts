import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { getPartKeys } from "@clementinemux/gateway/getPartKeys";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { rankService } from "./rankService";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

const streaming = { kind: RouteKind.Streaming, canResume: true, attempts: 2, timeoutMs: 5000 };
const document = { ...createDocument(1, [streaming]), services: [rankService] };
const plain = createDocument(1, [{ attempts: 2 }, { kind: RouteKind.NonIdempotent, attempts: 2 }]);
const [poisonKey = ""] = getPartKeys({ model: null, sharedParts: ["poison"] }, "app");

/** Target that answers streams, and crashes on requests with the part "poison". */
function createTarget(): TestTarget {
  const target: TestTarget = new TestTarget(({ id, head }, socket) => {
    if (/x-parts: \S*poison/i.test(head)) {
      target.close();
    } else {
      const { streamHead, chunk, event, streamEnd } = responses;
      socket.write(streamHead(id) + chunk(event(1)) + chunk(event(2)) + streamEnd);
    }
  });
  return target;
}

function post(parts: string) {
  return { method: "POST", path: "/p0/x", headers: { "x-parts": parts } };
}

const suspicion = { part: "", crashes: 1, ageMs: 0, leftMs: 30_000, isLifted: false };

// Guards against a request that crashes its target and is sent on to the next one, and against crashes that nobody hears of.
t.test(
  "a crash is reported with its unanswered parts, and its request is not sent again at once",
  async (t) => {
    const targets = [createTarget(), createTarget()];
    const { state, call, stop } = await startGateway(document, targets);
    t.equal((await call(post("shared"), "r1", "x")).status, 200);
    const crashed = call(post("shared,poison"), "r2", "x");
    const [report] = await waitUntil("report", () => {
      const { reports = [] } = state.crashes ?? {};
      return reports.length > 0 ? reports : null;
    });
    t.same(report?.parts, [poisonKey], "the part that was answered is not named");
    await delay(300);
    t.equal(
      targets.reduce((sum, { requests }) => sum + requests.length, 0),
      2,
    );
    state.findings = { suspicions: [{ ...suspicion, part: poisonKey }], watched: [] };
    t.equal((await crashed).status, 502, "it may have run");
    t.equal(
      targets.reduce((sum, { requests }) => sum + requests.length, 0),
      2,
    );
    await stop();
  },
);

// Guards against callers of suspected requests that wait or return at once, and against sound requests beside them.
t.test("a suspected request is refused at once, others with its first part are served", async (t) => {
  const target = createTarget();
  const { state, call, stop } = await startGateway(document, [target]);
  state.findings = { suspicions: [{ ...suspicion, part: poisonKey }], watched: [] };
  await delay(500);
  const startedAtMs = performance.now();
  const refused = await call(post("shared,poison"), "r1", "x");
  t.ok(performance.now() - startedAtMs < 150, "refused at once");
  t.equal(refused.status, 503);
  t.ok(Number(refused.headers["retry-after"]) > 20);
  t.equal(target.requests.length, 0);
  t.equal((await call(post("shared"), "r2", "x")).status, 200);
  await stop();
});

// Guards against a connection that was reset by chance and counts as a crash of its target.
t.test("a target that still accepts connections has not crashed", async (t) => {
  const target = new TestTarget((_, socket) => {
    socket.destroy();
  });
  const { state, call, stop } = await startGateway(document, [target]);
  await call(post("shared,sound"), "r1", "x");
  t.same(state.crashes?.reports, []);
  await stop();
});

// Guards against a request that was in flight when its part became suspected, and is sent again.
t.test("a request that becomes suspected is not sent to another target", async (t) => {
  const targets = [0, 1].map(
    () =>
      new TestTarget(({ id }, socket) => {
        setTimeout(() => socket.write(responses.notRun(id)), 600);
      }),
  );
  const { state, call, stop } = await startGateway(document, targets);
  const ended = call(post("shared,poison"), "r1", "x");
  await delay(100);
  state.findings = { suspicions: [{ ...suspicion, part: poisonKey }], watched: [] };
  const refused = await ended;
  t.equal(refused.status, 503);
  t.ok(Number(refused.headers["retry-after"]) > 20);
  t.equal(
    targets.reduce((sum, { requests }) => sum + requests.length, 0),
    1,
  );
  await stop();
});

/** Target of a plain service that crashes on paths with "deadly". */
function createPlainTarget(): TestTarget {
  const target: TestTarget = new TestTarget(({ id, head }, socket) => {
    if (/^\S+ \S*deadly/.test(head)) {
      target.close();
    } else {
      socket.write(responses.whole(id, "ok"));
    }
  });
  return target;
}

function countRequests(targets: readonly TestTarget[]): number {
  return targets.reduce((sum, { requests }) => sum + requests.length, 0);
}

// Guards against a request that crashes target after target, and against a verdict that waits for the coordinators.
t.test("a request that crashed two targets is sent to no third one", async (t) => {
  const targets = [1, 2, 3, 4].map(createPlainTarget);
  const { call, stop } = await startGateway(plain, targets);
  t.equal((await call({ path: "/p0/deadly?x=1" }, "r1")).status, 502, "it has run");
  t.equal(countRequests(targets), 2);
  const repeat = await call({ path: "/p0/deadly?x=1" }, "r2");
  t.equal(repeat.status, 503, "this attempt has not run");
  t.ok(Number(repeat.headers["retry-after"]) > 60, "the caller does not come back at once");
  t.equal(countRequests(targets), 2);
  t.equal((await call({ path: "/p0/sound" }, "r3")).status, 200);
  await stop();
});

// Guards against sound requests that are late or refused since their target crashed by itself.
t.test("a request whose target crashes by itself is answered by another one at once", async (t) => {
  let crashes = 0;
  const targets: TestTarget[] = [1, 2, 3].map(
    (index) =>
      new TestTarget(({ id }, socket) => {
        if (crashes === 0) {
          crashes += 1;
          targets[index - 1]?.close();
        } else {
          socket.write(responses.whole(id, "ok"));
        }
      }),
  );
  const { call, stop } = await startGateway(plain, targets);
  const startedAtMs = performance.now();
  t.equal((await call({ path: "/p0/sound" }, "r1")).status, 200);
  t.ok(performance.now() - startedAtMs < 300, "within the objective of its route");
  t.equal((await call({ path: "/p0/sound" }, "r2")).status, 200, "its repeat is no suspect");
  await stop();
});

// Guards against a request that may run once and is sent again, and against its caller's repeats without end.
t.test("a request that may run once crashes one target an attempt, and then none", async (t) => {
  const targets = [1, 2, 3, 4].map(createPlainTarget);
  const { call, stop } = await startGateway(plain, targets);
  const pay = { method: "POST", path: "/p1/deadly" };
  t.equal((await call(pay, "r1", "pay 1")).status, 502);
  t.equal(countRequests(targets), 1, "the gateway does not send it again");
  t.equal((await call(pay, "r2", "pay 1")).status, 502);
  t.equal((await call(pay, "r3", "pay 1")).status, 503);
  t.equal(countRequests(targets), 2);
  await stop();
});

// Guards against a crash that goes unnoticed since the target stops listening only after its connections have closed.
t.test("a target that refuses connections a moment after it broke off has crashed", async (t) => {
  const target: TestTarget = new TestTarget((_, socket) => {
    socket.destroy();
    setTimeout(() => {
      target.close();
    }, 100);
  });
  const { state, call, stop } = await startGateway(plain, [target]);
  await call({ path: "/p0/deadly" }, "r1");
  t.ok(await waitUntil("report", () => ((state.crashes?.reports.length ?? 0) > 0 ? true : null), 2000));
  await stop();
});

// Guards against a crash within the head of a response, which Node reports as an error of the response's format.
t.test("a target that crashes within the head of its response has crashed", async (t) => {
  const target: TestTarget = new TestTarget(({ id }, socket) => {
    socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-le`);
    target.close();
  });
  const { state, call, stop } = await startGateway(plain, [target]);
  t.equal((await call({ path: "/p0/deadly" }, "r1")).status, 502);
  t.ok(await waitUntil("report", () => ((state.crashes?.reports.length ?? 0) > 0 ? true : null), 2000));
  await stop();
});

// Guards against a stream that crashes its targets late, and is taken for sound since it had begun.
t.test("a stream that crashes two targets in its midst is not resumed at a third one", async (t) => {
  const { streamHead, chunk, event } = responses;
  const targets: TestTarget[] = [0, 1, 2].map(
    (index) =>
      new TestTarget(({ id, head }, socket) => {
        const after = Number(/x-after: (\d+)/i.exec(head)?.[1] ?? 0);
        socket.write(streamHead(id) + chunk(event(after + 1)));
        setTimeout(() => socket.write(chunk(event(after + 2))), 350);
        setTimeout(() => targets[index]?.close(), 400);
      }),
  );
  const services = createDocument(1).services;
  const { call, stop } = await startGateway({ ...document, services }, targets);
  const { body, isComplete } = await call({ method: "POST", path: "/p0/x" }, "r1", "x");
  t.equal(isComplete, false);
  t.equal(body, [1, 2, 3, 4].map(event).join(""));
  const repeat = await call({ method: "POST", path: "/p0/x", headers: { "x-after": "4" } }, "r2", "x");
  t.equal(repeat.status, 503, "its caller resumes it");
  t.equal(countRequests(targets), 2);
  await stop();
});

// Guards against callers of a stream that has begun who wait for an attribution, although it cannot go on.
t.test("a stream that has begun and whose rank crashes is ended at once", async (t) => {
  const { streamHead, chunk, event, notRun } = responses;
  let sends = 0;
  const targets: TestTarget[] = [0, 1].map(
    (index) =>
      new TestTarget(({ id }, socket) => {
        sends += 1;
        if (sends === 1) {
          socket.write(streamHead(id) + chunk(event(1)));
          setTimeout(() => targets[index]?.close(), 50);
        } else {
          socket.write(notRun(id));
        }
      }),
  );
  const { call, stop } = await startGateway(document, targets);
  const startedAtMs = performance.now();
  const { body, isComplete } = await call(post("shared"), "r1", "x");
  t.same({ body, isComplete }, { body: event(1), isComplete: false });
  t.ok(performance.now() - startedAtMs < 1000, "not after the 1.7 s of an attribution");
  await stop();
});
