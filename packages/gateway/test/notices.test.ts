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

const answer = {
  status: 200,
  requestId: "r1",
  isNotRun: false,
  isSigned: true,
  isMisdirected: false,
  isLeaving: false,
  pauseMs: null,
  faultyTarget: null,
};
const life = { id: "t-1", bornMs: 10 };
const unsafe = { kind: RouteKind.NonIdempotent, attempts: 2 };

function countRequests(targets: readonly TestTarget[]): number {
  return targets.reduce((sum, { requests }) => sum + requests.length, 0);
}

t.test("what a target says of itself counts for its life", (t) => {
  const notices = new TargetNotices();
  t.ok(notices.note(life, { ...answer, isLeaving: true }, 0));
  t.notOk(notices.note(life, { ...answer, isLeaving: true }, 1), "no news");
  t.notOk(notices.note(life, answer, 2));
  t.ok(notices.isLeaving(life), "guards against an answer that was under way and does not say so");
  t.notOk(notices.isLeaving({ ...life, bornMs: 11 }));
  t.same(notices.listLeaving(), [life]);
  notices.retain([], 30_000);
  t.ok(notices.isLeaving(life), "a silent target may still be there");
  notices.retain([{ ...life, bornMs: 11 }], 30_000);
  t.same(notices.listLeaving(), []);
  t.end();
});

t.test("a pause is counted from the answer, and the longest one holds", (t) => {
  const notices = new TargetNotices();
  notices.note(life, { ...answer, status: 503, pauseMs: 2000 }, 1000);
  notices.note(life, { ...answer, status: 503, pauseMs: 500 }, 1100);
  t.equal(notices.getPauseMs(life, 1100), 1900);
  t.equal(notices.getPauseMs(life, 3000), 0);
  const misdirected = { ...answer, isMisdirected: true, isLeaving: true };
  t.notOk(notices.note(life, misdirected, 0), "another target has the address now");
  t.end();
});

// Guards against requests that reach a target after it has said that it leaves, before any coordinator knows.
t.test("a target that leaves gets nothing new from the gateway that was told", async (t) => {
  const targets = [0, 1].map(
    (index) =>
      new TestTarget(({ id }, socket) => {
        const word = index === 0 ? "x-leaving: 1\r\n" : "";
        socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n${word}content-length: 2\r\n\r\nok`);
      }),
  );
  const { call, state, stop } = await startGateway(createDocument(1, [unsafe]), targets);
  await waitUntil("the leaving target has answered", async () => {
    await call({ path: "/p0/", method: "POST" }, "r0", "x");
    return targets[0]?.requests.length === 1 ? true : null;
  });
  for (let index = 0; index < 20; index += 1) {
    t.equal((await call({ path: "/p0/", method: "POST" }, `r${index}`, "x")).status, 200);
  }
  t.equal(targets[0]?.requests.length, 1);
  await waitUntil("the coordinator is told", () => (state.leaving[0]?.id === "t-0" ? true : null), 1000);
  await stop();
});

// Guards against a target that asks for a pause and gets further requests within it.
t.test(
  "targets that all want a pause get nothing, and callers are told at once when to return",
  async (t) => {
    const targets = [0, 1].map(
      () =>
        new TestTarget(({ id }, socket) => {
          const head = `HTTP/1.1 503 Busy\r\nx-id: ${id}\r\nx-not-run: 1\r\nx-pause-ms: 1500\r\n`;
          socket.write(`${head}content-length: 0\r\n\r\n`);
        }),
    );
    const { call, stop } = await startGateway(createDocument(1, [unsafe]), targets);
    t.equal((await call({ path: "/p0/", method: "POST" }, "r1", "x")).status, 503);
    t.equal(countRequests(targets), 2);
    const startedMs = performance.now();
    const refused = await call({ path: "/p0/", method: "POST" }, "r2", "x");
    t.equal(refused.status, 503);
    t.ok(performance.now() - startedMs < 100, "guards against a request that is held in vain");
    const retryMs = Number(refused.headers["retry-after"]) * 1000;
    t.ok(retryMs >= 1300 && retryMs <= 2400, "the soonest return, spread");
    t.equal(countRequests(targets), 2, "nothing was sent in the pause");
    await new Promise((resolve) => setTimeout(resolve, 1550));
    await call({ path: "/p0/", method: "POST" }, "r3", "x");
    t.equal(countRequests(targets), 4);
    await stop();
  },
);

// Guards against a target that has left and stays in use, because its coordinator was restarted.
t.test("a view does not keep targets that a coordinator without a complete list names as gone", (t) => {
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
    "the end of an earlier life ends no later one",
  );
  t.end();
});
