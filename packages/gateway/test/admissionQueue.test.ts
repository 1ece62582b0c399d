import { setTimeout as delay } from "node:timers/promises";
import type { Socket } from "node:net";
import t from "tap";
import { waitUntil } from "@clementinemux/system/waitUntil";
import type { Route } from "@clementinemux/routes/Route";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { startGateway } from "./startGateway";

/** Slots of the target that the stand-in coordinator lists. */
const slots = 4;

interface Held {
  readonly id: string;
  readonly answer: () => void;
}

function sendOk(socket: Socket, id: string): void {
  socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 2\r\n\r\nok`);
}

/** Starts a gateway with one target, which holds each request until it is told to answer, or for `slotMs`. */
async function start(routes: readonly Partial<Route>[], slotMs: number | null = null) {
  const held: Held[] = [];
  const target = new TestTarget(({ id }, socket) => {
    const answer = (): void => {
      sendOk(socket, id);
    };
    held.push({ id, answer });
    if (slotMs !== null) {
      setTimeout(answer, slotMs);
    }
  });
  const started = await startGateway(createDocument(1, routes), [target]);
  const readMetric = (name: string): number => {
    const line = started.gateway
      .renderMetrics()
      .split("\n")
      .find((item) => item.startsWith(`${name} `));
    return Number(line?.split(" ")[1] ?? NaN);
  };
  const send = (route: number, id: string) => started.call({ path: `/p${route}/` }, id);
  const fillSlots = async () => {
    const calls = Array.from({ length: slots }, (_, index) => send(0, `first-${index}`));
    await waitUntil("all slots are in use", () => (held.length === slots ? true : null), 2000);
    return calls;
  };
  const queued = (length: number) =>
    waitUntil(
      "the queue",
      () => (readMetric('clementinemux_gateway_queue_length{service="app"}') === length ? true : null),
      2000,
    );
  return { ...started, target, held, readMetric, send, fillSlots, queued };
}

const patient = { timeoutMs: 20_000, objectiveMs: 5000 };

// Guards against requests that get a slot by luck, and against a target that gets more requests than it has slots.
t.test("a freed slot goes to the most urgent request", async (t) => {
  const routes = [0, 1, 2].map((priority) => ({ ...patient, priority }));
  const { held, send, fillSlots, queued, stop } = await start(routes);
  const calls = await fillSlots();
  for (const [index, route] of [2, 1, 0].entries()) {
    calls.push(send(route, `waiting-${route}`));
    await queued(index + 1);
  }
  for (let answered = 0; answered < 3; answered += 1) {
    held[answered]?.answer();
    await waitUntil("the next request", () => (held.length === slots + answered + 1 ? true : null), 2000);
  }
  t.same(
    held.slice(slots).map(({ id }) => id),
    ["waiting-0", "waiting-1", "waiting-2"],
  );
  held.slice(3).forEach(({ answer }) => {
    answer();
  });
  t.ok((await Promise.all(calls)).every(({ status }) => status === 200));
  await stop();
});

// Guards against requests that are held to their wait limit although they cannot get a slot by then.
t.test("requests that cannot get a slot in time are rejected on arrival", async (t) => {
  const routes = [
    { objectiveMs: 500, timeoutMs: 8000 },
    { priority: 2, timeoutMs: 8000 },
  ];
  const { send, readMetric, stop } = await start(routes, 400);
  await Promise.all(Array.from({ length: slots }, (_, index) => send(0, `learn-${index}`)));
  const startedAtMs = performance.now();
  const responses = await Promise.all(
    Array.from({ length: 40 }, async (_, index) => {
      const response = await send(0, `crowd-${index}`);
      return { ...response, tookMs: performance.now() - startedAtMs };
    }),
  );
  const rejected = responses.filter(({ status }) => status === 503);
  const atOnce = readMetric('clementinemux_gateway_queue_rejected_on_arrival{priority="1"}');
  // Four slots of 400 ms free 2 slots in 200 ms, so at most 5 wait, and make room as their time passes.
  t.ok(atOnce >= (40 - slots) / 2, `${atOnce} of ${rejected.length} rejected on arrival`);
  t.ok(
    rejected.every(({ headers }) => Number(headers["retry-after"]) >= 0),
    "all name a time to return",
  );
  const served = responses.filter(({ status }) => status === 200);
  t.equal(served.length + rejected.length, 40);
  t.ok(served.length >= slots, `${served.length} served`);
  t.equal(readMetric('clementinemux_gateway_queue_length{service="app"}'), 0);
  await stop();
});

// Guards against a slot that is given to a caller that has left, and against memory held for it.
t.test("a caller that leaves gives up its place", async (t) => {
  const { held, send, open, fillSlots, queued, readMetric, stop } = await start([
    { ...patient, priority: 0 },
    { ...patient, priority: 2 },
  ]);
  const calls = await fillSlots();
  const leaving = open({ path: "/p0/" }, "leaving");
  leaving.on("error", () => undefined);
  leaving.end();
  await queued(1);
  calls.push(send(1, "staying"));
  await queued(2);
  leaving.destroy();
  await queued(1);
  held[0]?.answer();
  await waitUntil("the next request", () => (held.length > slots ? true : null), 2000);
  t.equal(held[slots]?.id, "staying");
  t.equal(readMetric('clementinemux_gateway_queue_withdrawn{priority="0"}'), 1);
  held.slice(1).forEach(({ answer }) => {
    answer();
  });
  t.ok((await Promise.all(calls)).every(({ status }) => status === 200));
  await stop();
});

// Guards against less urgent requests that starve while urgent ones fill every slot.
t.test("less urgent requests are served beside a flood of urgent ones", async (t) => {
  const routes = [0, 2].map((priority) => ({ ...patient, priority }));
  const { held, send, stop } = await start(routes, 20);
  let isOver = false;
  const flood = Array.from({ length: 30 }, async (_, caller) => {
    for (let count = 0; !isOver; count += 1) {
      await send(0, `urgent-${caller}-${count}`);
    }
  });
  await delay(300);
  const responses = await Promise.all(Array.from({ length: 4 }, (_, index) => send(1, `less-${index}`)));
  isOver = true;
  await Promise.all(flood);
  t.ok(
    responses.some(({ status }) => status === 200),
    "some are served",
  );
  const urgent = held.filter(({ id }) => id.startsWith("urgent")).length;
  t.ok(urgent > 20, `${urgent} urgent requests served meanwhile`);
  await stop();
});

// Guards against a gateway that takes the free slots for which more urgent requests wait at others.
t.test("slots are left to more urgent requests at other gateways", async (t) => {
  const routes = [0, 2].map((priority) => ({ ...patient, priority }));
  const { held, send, state, stop } = await start(routes);
  state.othersWaiting = { app: { 0: 100 } };
  await delay(500);
  const calls = Array.from({ length: slots }, (_, index) => send(1, `less-${index}`));
  await waitUntil("the report", () => (state.waiting.app?.[2] === undefined ? null : true), 2000);
  t.ok(held.length < slots, `${held.length} of ${slots} sent, at most one for each report`);
  state.othersWaiting = {};
  await waitUntil("all are sent", () => (held.length === slots ? true : null), 2000);
  await waitUntil("the report", () => (state.waiting.app === undefined ? true : null), 2000);
  held.forEach(({ answer }) => {
    answer();
  });
  t.ok((await Promise.all(calls)).every(({ status }) => status === 200));
  await stop();
});

// Guards against a changed order for services whose routes ask for none.
t.test("without a difference in urgency, requests look for slots as before", async (t) => {
  const { held, send, fillSlots, gateway, stop } = await start([patient, patient]);
  const calls = [...(await fillSlots()), send(1, "waiting")];
  await delay(100);
  t.notMatch(gateway.renderMetrics(), /queue_length/);
  held[0]?.answer();
  await waitUntil("the next request", () => (held.length > slots ? true : null), 2000);
  held.slice(1).forEach(({ answer }) => {
    answer();
  });
  t.ok((await Promise.all(calls)).every(({ status }) => status === 200));
  t.match(gateway.renderMetrics(), /queue_admitted\{priority="1"\} 0/);
  await stop();
});
