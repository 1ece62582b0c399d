import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { getPartKeys } from "@clementinemux/gateway/getPartKeys";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

const streaming = { kind: RouteKind.Streaming, canResume: true, attempts: 2, timeoutMs: 5000 };
const document = createDocument(1, [streaming]);
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
