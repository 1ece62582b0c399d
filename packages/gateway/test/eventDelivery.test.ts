import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { EventDelivery } from "@clementinemux/gateway/EventDelivery";
import type { RelayedEvent } from "@clementinemux/gateway/RelayedEvent";
import { StreamProgress } from "@clementinemux/gateway/StreamProgress";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { TurnQueue } from "@clementinemux/wire/TurnQueue";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

const stallTimeoutMs = 800;
const stream = {
  kind: RouteKind.Streaming,
  canResume: true,
  attempts: 2,
  objectiveMs: 100,
  gapObjectiveMs: 100,
  timeoutMs: 8000,
};

function createEvents(count: number): string {
  return Array.from({ length: count }, (_, index) => responses.event(index + 1)).join("");
}

/** Delivers events and records the size of each batch. */
function createDelivery(onEvents: (text: string) => void = () => undefined) {
  const state = { text: "", batches: [] as number[] };
  const delivery = new EventDelivery({
    clock: new SystemClock(),
    turns: new TurnQueue(),
    guard: (action) => {
      action();
    },
    onEvents: (events) => {
      state.text += events.map(({ bytes }) => bytes.toString()).join("");
      state.batches.push(events.length);
      onEvents(state.text);
    },
    onTurnEnd: () => undefined,
  });
  return { delivery, state };
}

// Guards against events of one read that keep the process from all others, and against lost or reordered ones.
t.test("a flood of events is delivered in order, in small parts and slowly", async (t) => {
  const { delivery, state } = createDelivery();
  const text = createEvents(2500);
  const startedMs = performance.now();
  delivery.add(Buffer.from(text));
  t.same(state.batches, [32], "one part at once");
  t.ok(delivery.isHolding);
  await new Promise<void>((resolve) => {
    delivery.end(resolve);
  });
  const tookMs = performance.now() - startedMs;
  t.ok(tookMs > 1300, `${Math.round(tookMs)} ms for 1,476 events beyond the burst`);
  t.ok(Math.max(...state.batches) <= 32);
  t.ok(state.text === text, "all events are there, before the end");
  t.end();
});

// Guards against a bound for the events of one piece that many pieces in a turn exceed together.
t.test("events in pieces of their own are delivered in small parts", async (t) => {
  const { delivery, state } = createDelivery();
  for (let event = 1; event <= 500; event += 1) {
    delivery.add(Buffer.from(responses.event(event)));
  }
  const count = (): number => state.batches.reduce((sum, size) => sum + size, 0);
  t.equal(count(), 32, "in the turn of the pieces");
  t.ok(delivery.isHolding);
  await new Promise<void>((resolve) => {
    delivery.end(resolve);
  });
  t.ok(state.text === createEvents(500));
});

// Guards against delivering a whole read to a caller that does not read, and against an end before the last event.
t.test("paused events wait, and so does the end", async (t) => {
  const text = createEvents(100);
  const { delivery, state } = createDelivery(() => {
    delivery.pause();
  });
  let isEnded = false;
  delivery.add(Buffer.from(text));
  delivery.end(() => (isEnded = true));
  await delay(20);
  t.same(state.batches, [32]);
  t.notOk(isEnded);
  await waitUntil("the end", () => {
    delivery.resume();
    return isEnded ? true : null;
  });
  t.same(state.batches, [32, 32, 32, 4]);
  t.equal(state.text, text);
  t.end();
});

// Guards against events that were received before a break and are not delivered.
t.test("a broken stream delivers what it brought", (t) => {
  const { delivery, state } = createDelivery();
  const text = createEvents(200);
  delivery.add(Buffer.from(text));
  delivery.flush();
  t.equal(state.text, text);
  delivery.cancel();
  t.end();
});

// Guards against a stream that stays open by repeating old events or keep-alives, and against ending one that starts again.
t.test("only new events and a stream that starts again are progress", (t) => {
  const progress = new StreamProgress(stallTimeoutMs);
  const event = (id: string | null, hasData = true): RelayedEvent => ({
    bytes: Buffer.alloc(1),
    id,
    hasData,
  });
  const note = (one: RelayedEvent, isNew: boolean) => progress.note([one], isNew ? [one] : []);
  t.ok(note(event("1"), false), "repeated from the start");
  t.ok(note(event("2"), false));
  t.notOk(note(event("2"), false));
  t.notOk(note(event("1"), false));
  t.notOk(note(event("3", false), true), "a keep-alive");
  t.ok(note(event(null), true));
  for (let count = 0; count < stallTimeoutMs; count += 1) {
    note(event("1"), false);
  }
  t.notOk(progress.hasTooManyEvents);
  note(event("1"), false);
  t.ok(progress.hasTooManyEvents);
  t.end();
});

for (const [name, { pauseMs, count }] of Object.entries({
  slowly: { pauseMs: 50, count: 1 },
  "at full speed": { pauseMs: 0, count: 1000 },
})) {
  // Guards against a resumed stream that repeats old events until the timeout of the route.
  t.test(`a resumed stream that only repeats events is ended: ${name}`, async (t) => {
    const script: ConstructorParameters<typeof TestTarget>[0] = ({ id, head }, socket) => {
      socket.write(responses.streamHead(id) + responses.chunk(createEvents(3)));
      if (!/x-after/i.test(head)) {
        setTimeout(() => socket.resetAndDestroy(), 20);
        return;
      }
      const repeat = (): void => {
        if (!socket.destroyed && socket.writableLength === 0) {
          socket.write(responses.chunk(responses.event(2).repeat(count)));
        }
      };
      const timer = setInterval(repeat, Math.max(1, pauseMs));
      socket.once("close", () => {
        clearInterval(timer);
      });
    };
    const targets = [new TestTarget(script), new TestTarget(script)];
    const { call, stop } = await startGateway(createDocument(1, [stream]), targets);
    const startedMs = performance.now();
    const response = await call({ path: "/p0/", method: "POST" }, "r1", "x");
    t.ok(performance.now() - startedMs < stream.timeoutMs / 2, "ended before the timeout of the route");
    t.equal(response.body, createEvents(3));
    t.notOk(response.isComplete);
    t.same(
      targets.map(({ requests }) => requests.length),
      [1, 1],
    );
    await stop();
  });
}

// Guards against a sound stream that loses events because many come at once, or that is taken for one that stands still.
t.test("a stream of many events at once arrives complete", async (t) => {
  const text = createEvents(4000);
  const target = new TestTarget(({ id }, socket) => {
    socket.write(responses.streamHead(id) + responses.chunk(text) + responses.streamEnd);
  });
  const { call, stop } = await startGateway(createDocument(1, [stream]), [target]);
  const response = await call({ path: "/p0/", method: "POST" }, "r1", "x");
  t.ok(response.body === text && response.isComplete, `${response.body.length} of ${text.length} bytes`);
  await stop();
});
