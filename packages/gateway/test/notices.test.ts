import t from "tap";
import { encode } from "cbor-x";
import { FleetView } from "@clementinemux/gateway/FleetView";
import { TargetNotices } from "@clementinemux/gateway/TargetNotices";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { createSyncResponse } from "@clementinemux/standins/gateway/createSyncResponse";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { createDocument } from "../../routes/test/createDocument";
import { TestCodec } from "./TestCodec";
import { TestTarget } from "./TestTarget";
import { startGateway } from "./startGateway";

const response = {
  status: 200,
  requestId: "r1",
  isNotRun: false,
  isSigned: true,
  isMisdirected: false,
  isLeaving: false,
  pauseMs: null,
  limitPerS: null,
  faultyTarget: null,
};
const incarnation = { id: "t-1", bornMs: 10 };
const nonIdempotent = { kind: RouteKind.NonIdempotent, attempts: 2 };

function countRequests(targets: readonly TestTarget[]): number {
  return targets.reduce((sum, { requests }) => sum + requests.length, 0);
}

t.test("a notice applies to one incarnation of its target", (t) => {
  const notices = new TargetNotices();
  t.ok(notices.note(incarnation, { ...response, isLeaving: true }, 0));
  t.notOk(notices.note(incarnation, { ...response, isLeaving: true }, 1), "not new");
  t.notOk(notices.note(incarnation, response, 2));
  t.ok(notices.isLeaving(incarnation), "guards against a response that was in flight and lacks the notice");
  t.notOk(notices.isLeaving({ ...incarnation, bornMs: 11 }));
  t.same(notices.listLeaving(), [incarnation]);
  notices.retain([], 30_000);
  t.ok(notices.isLeaving(incarnation), "an unresponsive target may still exist");
  notices.retain([{ ...incarnation, bornMs: 11 }], 30_000);
  t.same(notices.listLeaving(), []);
  t.end();
});

t.test("a pause is counted from the response, and the longest one applies", (t) => {
  const notices = new TargetNotices();
  notices.note(incarnation, { ...response, status: 503, pauseMs: 2000 }, 1000);
  notices.note(incarnation, { ...response, status: 503, pauseMs: 500 }, 1100);
  t.equal(notices.getPauseMs(incarnation, 1100), 1900);
  t.equal(notices.getPauseMs(incarnation, 3000), 0);
  const misdirected = { ...response, isMisdirected: true, isLeaving: true };
  t.notOk(notices.note(incarnation, misdirected, 0), "another target has the address now");
  t.end();
});

// Guards against requests to a target after it has stated that it is leaving, before any coordinator knows.
t.test("a gateway sends no more requests to a target that is leaving", async (t) => {
  const targets = [0, 1].map(
    (index) =>
      new TestTarget(({ id }, socket) => {
        const header = index === 0 ? "x-leaving: 1\r\n" : "";
        socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n${header}content-length: 2\r\n\r\nok`);
      }),
  );
  const { call, state, stop } = await startGateway(createDocument(1, [nonIdempotent]), targets);
  await waitUntil("the leaving target has answered", async () => {
    await call({ path: "/p0/", method: "POST" }, "r0", "x");
    return targets[0]?.requests.length === 1 ? true : null;
  });
  for (let index = 0; index < 20; index += 1) {
    t.equal((await call({ path: "/p0/", method: "POST" }, `r${index}`, "x")).status, 200);
  }
  t.equal(targets[0]?.requests.length, 1);
  await waitUntil(
    "the coordinator receives the notice",
    () => (state.leaving[0]?.id === "t-0" ? true : null),
    1000,
  );
  await stop();
});

// Guards against a target that requests a pause and receives further requests during it.
t.test("while all targets pause, requests are rejected at once with a Retry-After", async (t) => {
  const targets = [0, 1].map(
    () =>
      new TestTarget(({ id }, socket) => {
        const head = `HTTP/1.1 503 Busy\r\nx-id: ${id}\r\nx-not-run: 1\r\nx-pause-ms: 1500\r\n`;
        socket.write(`${head}content-length: 0\r\n\r\n`);
      }),
  );
  const { call, stop } = await startGateway(createDocument(1, [nonIdempotent]), targets);
  t.equal((await call({ path: "/p0/", method: "POST" }, "r1", "x")).status, 503);
  t.equal(countRequests(targets), 2);
  const startedMs = performance.now();
  const rejected = await call({ path: "/p0/", method: "POST" }, "r2", "x");
  t.equal(rejected.status, 503);
  t.ok(performance.now() - startedMs < 100, "guards against a request that waits in vain");
  const retryMs = Number(rejected.headers["retry-after"]) * 1000;
  t.ok(retryMs >= 1300 && retryMs <= 2400, "the end of the pause, with a spread");
  t.equal(countRequests(targets), 2, "nothing was sent during the pause");
  await new Promise((resolve) => setTimeout(resolve, 1550));
  await call({ path: "/p0/", method: "POST" }, "r3", "x");
  t.equal(countRequests(targets), 4);
  await stop();
});

// Guards against a target that has left but stays in use because its coordinator was restarted.
t.test("a view does not keep targets that a coordinator without a complete list lists as gone", (t) => {
  const view = new FleetView(new TestCodec());
  const addresses = ["h:1", "h:2", "h:3"];
  const document = encode(createDocument(1));
  const all = createSyncResponse({
    service: "app",
    addresses,
    slots: 1,
    documentVersion: 1,
    document,
    ageMs: 0,
  });
  view.update(all, 0);
  const [first, second] = all.targets ?? [];
  const gone = { isGone: true, isDraining: true };
  const targets = [
    { ...first!, ...gone },
    { ...second!, ...gone, bornMs: 0 },
  ];
  view.update({ ...all, document: null, targets, isComplete: false }, 1);
  t.same(
    view.listOpenTargets("app").map(({ id }) => id),
    ["t-1", "t-2"],
    "the end of an earlier incarnation does not end a later one",
  );
  t.end();
});
