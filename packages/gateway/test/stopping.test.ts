import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { StopWindow } from "@clementinemux/gateway/StopWindow";
import { predictDuration } from "@clementinemux/gateway/predictDuration";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

// Limit for a hang; a passing run stays far below it.
t.setTimeout(90_000);

const graceMs = 8000;
const advertisedMs = 2500;
const meanGapMs = 60;
const tokensPerEvent = 5;
const stream = { kind: RouteKind.Streaming, objectiveMs: 400, gapObjectiveMs: 120, timeoutMs: 8000 };
const call = { kind: RouteKind.NonIdempotent, objectiveMs: 300, gapObjectiveMs: 0, timeoutMs: 1500 };

/** Resolves `index` gaps after the start: on a busy machine, late timers must not make the requests fewer. */
function waitForTurn(startedAtMs: number, index: number, gapMs: number): Promise<void> {
  return delay(Math.max(0, startedAtMs + index * gapMs - performance.now()));
}

function predict(events: number) {
  return events === 0
    ? predictDuration({ route: call, caller: { leftMs: 3000, maxAnswerTokens: 0 }, stride: 1, meanGapMs })
    : predictDuration({
        route: stream,
        caller: { leftMs: 8000, maxAnswerTokens: events * tokensPerEvent },
        stride: tokensPerEvent,
        meanGapMs,
      });
}

// Guards against responses that are cut off by a stop because the gateway accepted requests that could not
// complete in time.
t.test("requests accepted during a stop complete in time, and those that can are accepted", (t) => {
  const random = createRandom(5);
  const window = new StopWindow({ startedAtMs: 0, endAtMs: graceMs - 400, advertisedMs });
  const lastAcceptedMs = new Map<number, number>();
  for (let nowMs = 0; nowMs < graceMs; nowMs += 5) {
    for (let events = 0; events <= 70; events += 1) {
      const duration = predict(events);
      if (window.admits(duration, nowMs)) {
        lastAcceptedMs.set(events, nowMs);
        const gaps = events * meanGapMs * (0.8 + 0.45 * random());
        const tookMs = events === 0 ? random() * call.timeoutMs : stream.objectiveMs * random() + gaps;
        t.ok(nowMs + tookMs <= window.endAtMs, `${events} events, accepted after ${nowMs} ms`);
      }
    }
  }
  t.ok((lastAcceptedMs.get(0) ?? 0) > 6000, "short calls are accepted until they could not complete");
  t.ok(
    (lastAcceptedMs.get(28) ?? 0) >= advertisedMs - 5,
    "usual streams are accepted while callers are directed here",
  );
  t.ok((lastAcceptedMs.get(28) ?? 0) < advertisedMs, "later the latest possible end decides");
  t.ok((lastAcceptedMs.get(70) ?? 0) < 2000, "long streams are rejected sooner");
  t.end();
});

t.test("a stop is over when no callers are directed here and nothing is in flight", (t) => {
  const window = new StopWindow({ startedAtMs: 0, endAtMs: 7600, advertisedMs });
  t.notOk(window.isOver(0, 2000), "callers still use the address");
  t.notOk(window.isOver(1, 7000));
  t.ok(window.isOver(0, 2500));
  t.ok(window.isOver(1, 7600));
  t.end();
});

t.test("a stream of unknown length is assumed to take its time limit", (t) => {
  const caller = { leftMs: 5000, maxAnswerTokens: 0 };
  t.same(predictDuration({ route: stream, caller, stride: 1, meanGapMs }), {
    expectedMs: 5000,
    latestMs: 5000,
  });
  t.end();
});

// Guards against requests that were accepted during a stop and end without a response.
t.test("a stop under load serves every accepted request and rejects the rest as not run", async (t) => {
  const eventGapMs = 100;
  const target = new TestTarget(({ id, head }, socket) => {
    if (head.includes("/p1/")) {
      setTimeout(() => socket.write(responses.whole(id, "ok")), 60);
      return;
    }
    socket.write(responses.streamHead(id));
    for (let event = 1; event <= 12; event += 1) {
      setTimeout(() => socket.write(responses.chunk(responses.event(event))), event * eventGapMs);
    }
    setTimeout(() => socket.write(responses.streamEnd), 12 * eventGapMs + 10);
  });
  const routes = [
    { ...stream, timeoutMs: 2500 },
    { ...call, timeoutMs: 800 },
  ];
  const { gateway, call: send, stop } = await startGateway(createDocument(1, routes), [target]);
  const ends: { id: string; status: number; isComplete: boolean; isClosed: boolean; canReturn: boolean }[] =
    [];
  const pending: Promise<void>[] = [];
  const state = { isStopped: false };
  const startedAtMs = performance.now();
  const stopped = gateway.shutDown().then(() => {
    state.isStopped = true;
  });
  for (let index = 0; !state.isStopped; index += 1) {
    const id = `r${index}`;
    const sent = send({ path: `/p${index % 2}/`, method: "POST" }, id, "x")
      .then(({ status, isComplete, headers }) => {
        const canReturn = Number(headers["retry-after"]) > 0;
        ends.push({ id, status, isComplete, isClosed: headers.connection === "close", canReturn });
      })
      .catch(() => {
        ends.push({ id, status: 0, isComplete: false, isClosed: true, canReturn: true });
      });
    pending.push(sent);
    await waitForTurn(startedAtMs, index + 1, 40);
  }
  await stopped;
  gateway.close();
  await Promise.all(pending);
  const seen = new Set(target.requests.map(({ id }) => id));
  const answered = ends.filter(({ status }) => status === 200);
  const rejected = ends.filter(({ status }) => status === 503);
  const cut = ends.filter(({ status, isComplete }) => status === 200 && !isComplete);
  t.same(cut, [], "no response is cut off");
  t.same(
    ends.filter(({ id, status }) => status !== 200 && seen.has(id)),
    [],
    "requests that were rejected or not read have not run",
  );
  t.ok(answered.length > 20 && rejected.length > 5, `${answered.length} served, ${rejected.length} rejected`);
  t.ok(ends.every(({ isClosed }) => isClosed));
  t.ok(rejected.every(({ canReturn }) => canReturn));
  await stop();
});

// Guards against requests that come late in the grace time, are passed on, and are cut off without an answer at its end.
t.test("in calm, a stop ends no request that it has passed on, whenever it came", async (t) => {
  const workMs = 600;
  const target = new TestTarget(({ id, head }, socket) => {
    const response = head.includes("/p2/")
      ? responses.streamHead(id) + responses.chunk(responses.event(1)) + responses.streamEnd
      : responses.whole(id, "ok");
    setTimeout(() => socket.write(response), workMs);
  });
  const routes = [
    { ...call, timeoutMs: 1500 },
    { kind: RouteKind.Idempotent, attempts: 2, timeoutMs: 1500 },
    { ...stream, timeoutMs: 1500 },
  ];
  const { gateway, call: send, stop } = await startGateway(createDocument(1, routes), [target]);
  const ends = new Map<string, { status: number; isComplete: boolean; code: string }>();
  const pending: Promise<void>[] = [];
  const state = { isStopped: false };
  const stopped = gateway.shutDown().then(() => {
    state.isStopped = true;
  });
  for (let index = 0; !state.isStopped; index += 1) {
    const id = `r${index}`;
    const sent = send({ path: `/p${index % 3}/`, method: "POST" }, id, "x")
      .then(({ status, isComplete }) => {
        ends.set(id, { status, isComplete, code: "" });
      })
      .catch((error: unknown) => {
        const { code = "" } = error as NodeJS.ErrnoException;
        ends.set(id, { status: 0, isComplete: false, code });
      });
    pending.push(sent);
    await delay(150);
  }
  await stopped;
  gateway.close();
  await Promise.all(pending);
  const passedOn = target.requests.map(({ id }) => ({ id, ...ends.get(id) }));
  t.ok(passedOn.length >= 5, `${passedOn.length} passed on`);
  t.same(
    passedOn.filter(({ status, isComplete }) => status !== 200 || !isComplete),
    [],
  );
  const others = [...ends].filter(([id]) => target.requests.every((request) => request.id !== id));
  const rejected = others.filter(([, { status }]) => status === 503);
  // A connection that is refused has not been accepted, so its caller knows that nothing has run.
  const refused = others.filter(([, { code }]) => code === "ECONNREFUSED");
  t.ok(rejected.length > 0);
  t.same(others.length, rejected.length + refused.length, "the others are told that they have not run");
  await stop();
});

// Guards against connections that are reset because they wait to be accepted when the gateway stops listening.
t.test("no connection is reset when a stop ends", async (t) => {
  const target = new TestTarget(({ id }, socket) => socket.write(responses.whole(id, "ok")));
  const { gateway, call: send, stop } = await startGateway(createDocument(1, [call]), [target]);
  const statuses: number[] = [];
  const codes: (string | undefined)[] = [];
  const pending: Promise<void>[] = [];
  const state = { isStopped: false };
  const stopped = gateway.shutDown().then(() => {
    state.isStopped = true;
  });
  await delay(advertisedMs - 100);
  for (let index = 0; !state.isStopped; index += 1) {
    const sent = send({ path: "/p0/", method: "POST" }, `r${index}`, "x")
      .then(({ status }) => {
        statuses.push(status);
      })
      .catch((error: unknown) => {
        codes.push((error as NodeJS.ErrnoException).code);
      });
    pending.push(sent);
    await delay(1);
  }
  await stopped;
  await Promise.all(pending);
  t.ok(statuses.length > 10, `${statuses.length} responses`);
  t.same(
    codes.filter((code) => code !== "ECONNREFUSED"),
    [],
    `${codes.length} connections failed`,
  );
  await stop();
});
