import t from "tap";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

const stream = { kind: RouteKind.Streaming, canResume: false, attempts: 1, gapObjectiveMs: 120 };
const maxHoldMs = 80;
const stallStepMs = 5;
const calmStallMs = 20;
const maxStreams = 8;

/** Target that sends events, each after the given gap, then ends the stream as `end` says. */
function createTarget(gapsMs: readonly number[], end: "whole" | "reset" | "open"): TestTarget {
  return new TestTarget(({ id }, socket) => {
    let atMs = 0;
    socket.write(responses.streamHead(id));
    for (const [index, gapMs] of gapsMs.entries()) {
      atMs += gapMs;
      setTimeout(() => socket.write(responses.chunk(responses.event(index + 1))), atMs);
    }
    setTimeout(() => {
      if (end === "reset") {
        socket.resetAndDestroy();
      } else if (end === "whole") {
        socket.write(responses.streamEnd);
      }
    }, atMs + 5);
  });
}

/**
 * Adds up the time for which this process was stalled. Target, gateway and caller share the process, so each
 * stall lengthens a pause by as much; on an idle machine it is a few ms.
 */
function watchStalls() {
  let totalMs = 0;
  let lastMs = performance.now();
  const timer = setInterval(() => {
    const nowMs = performance.now();
    totalMs += Math.max(0, nowMs - lastMs - stallStepMs);
    lastMs = nowMs;
  }, stallStepMs);
  return {
    stop: (): number => {
      clearInterval(timer);
      return totalMs;
    },
  };
}

// Guards against events that are lost, reordered or cut off when they are delayed, and against a late end.
t.test("a paced stream is complete, and its pauses are shortened", async (t) => {
  const gapsMs = [5, 30, 30, 30, 170, 30, 1, 1];
  const { open, stop } = await startGateway(createDocument(1, [stream]), [createTarget(gapsMs, "whole")]);
  // A busy machine disturbs streams; the check is repeated until one runs with hardly any stall.
  for (let round = 1, stallMs = Infinity; round <= maxStreams && stallMs > calmStallMs; round += 1) {
    const arrivals: number[] = [];
    let text = "";
    const stalls = watchStalls();
    const isComplete = await new Promise<boolean>((resolve) => {
      const sent = open({ path: "/p0/", method: "POST" }, `r${round}`);
      sent.on("response", (response) => {
        response.on("data", (chunk: Buffer) => {
          arrivals.push(performance.now());
          text += chunk.toString();
        });
        response.on("close", () => {
          resolve(response.complete);
        });
      });
      sent.end("x");
    });
    stallMs = stalls.stop();
    t.equal(text, gapsMs.map((_, index) => responses.event(index + 1)).join(""));
    t.ok(isComplete);
    const gaps = arrivals.slice(1).map((atMs, index) => atMs - (arrivals[index] ?? 0));
    t.ok(
      Math.max(...gaps) < 170 - maxHoldMs / 2 + stallMs,
      `longest pause ${Math.round(Math.max(...gaps))} ms, own stalls ${Math.round(stallMs)} ms`,
    );
  }
  await stop();
});

// Guards against received events that are dropped because the target breaks after them.
t.test("delayed events are forwarded when a stream breaks", async (t) => {
  const { call, stop } = await startGateway(createDocument(1, [stream]), [createTarget([1, 1, 1], "reset")]);
  const response = await call({ path: "/p0/", method: "POST" }, "r1", "x");
  t.equal(response.body, [1, 2, 3].map(responses.event).join(""));
  t.notOk(response.isComplete);
  await stop();
});

t.test("a caller that disconnects while events are delayed ends the request at the target", async (t) => {
  const target = createTarget([1, 1, 1, 1], "open");
  const { open, stop, gateway } = await startGateway(createDocument(1, [stream]), [target]);
  const sent = open({ path: "/p0/", method: "POST" }, "r1");
  sent.on("error", () => undefined);
  sent.on("response", (response) => {
    response.on("error", () => undefined);
    response.once("data", () => sent.destroy());
  });
  sent.end("x");
  await waitUntil("the target sees its connection close", () => (target.closed === 1 ? true : null), 1000);
  await waitUntil("nothing is in flight", () => (gateway.inFlight === 0 ? true : null), 1000);
  t.match(gateway.renderMetrics(), 'clementinemux_gateway_ends{end="caller_left"} 1\n');
  await stop();
});
