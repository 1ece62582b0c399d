import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import fc from "fast-check";
import t from "tap";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { resetSocket } from "@clementinemux/standins/net/resetSocket";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

// Only a hanging test takes this long.
t.setTimeout(120_000);

const { whole, event } = responses;
const run = { seed: 41, numRuns: 200, endOnFailure: true };
/** Without a gap, resets arrive together with the last bytes. */
const cutGapsMs = [0, 5, 20];
const streaming = {
  ...{ kind: RouteKind.Streaming, canResume: true, attempts: 2 },
  ...{ timeoutMs: 3000, gapObjectiveMs: 120 },
};
const document = createDocument(1, [
  { kind: RouteKind.NonIdempotent, attempts: 1, timeoutMs: 3000 },
  streaming,
  { ...streaming, canResume: false, attempts: 1 },
]);
const noErrors = /handler_errors\{handler="\w+"\} [1-9]/;
/** Any byte; those that end something in HTTP, or that one side of it refuses, more often. */
const byte = fc.oneof(
  fc.constantFrom(" ", "0", "\t", "\f", "\r", "\n", "\0", "\x7f", "\x80", ":"),
  fc.integer({ min: 0, max: 255 }).map((code) => String.fromCharCode(code)),
);
const bytes = fc.string({ unit: byte, minLength: 1, maxLength: 3 });
const anyName = fc.string({ unit: "binary", minLength: 1, maxLength: 8 });

/** Starts a gateway whose targets answer `odd` requests with the bytes that `answer` creates, and others soundly. */
async function startOdd() {
  let sent = 0;
  const script = { answer: (_: string, socket: Socket): unknown => socket.end() };
  const targets = [0, 1].map(
    () =>
      new TestTarget(({ id }, socket) => {
        if (id.startsWith("odd")) {
          script.answer(id, socket);
        } else {
          socket.write(whole(id, "ok"));
        }
      }),
  );
  const started = await startGateway(document, targets);
  const { call, gateway } = started;
  const callOdd = (path: string) => {
    sent += 1;
    return call({ path, method: "POST" }, `odd-${sent}`, "x").catch(() => null);
  };
  /** Whether another request is served, and no handler had an exception: what is odd is refused where it comes in. */
  const isSound = async (): Promise<boolean> => {
    sent += 1;
    const { status } = await call({ path: "/p0/", method: "POST" }, `r-${sent}`, "x");
    return status === 200 && !noErrors.test(gateway.renderMetrics());
  };
  return { ...started, targets, script, callOdd, isSound };
}

// Guards against bytes in the head of a response that end a gateway (review/4).
t.test("random bytes in a head cost at most their own request", async (t) => {
  const { script, callOdd, isSound, stop } = await startOdd();
  const anyStatus = fc.constantFrom(
    "000",
    "001",
    "099",
    "100",
    "101",
    "200",
    "204",
    "304",
    "999",
    "2",
    "2000",
  );
  const anyPlace = fc.constantFrom("status", "reason", "name", "value", "line");
  const property = fc.asyncProperty(anyPlace, bytes, anyStatus, async (place, odd, status) => {
    const oddAt = (name: string): string => (place === name ? odd : "");
    script.answer = (id, socket) => {
      const first = `HTTP/1.1 ${place === "status" ? status : "200"} O${oddAt("reason")}K`;
      const header = `x-a${oddAt("name")}b: c${oddAt("value")}d${oddAt("line")}`;
      const answer = `${first}\r\n${header}\r\nx-id: ${id}\r\ncontent-length: 2\r\n\r\nok`;
      socket.end(answer, "latin1");
    };
    await callOdd("/p0/");
    return isSound();
  });
  await fc.assert(property, run);
  t.pass();
  await stop();
});

// Guards against bytes in an event that end a gateway when the stream is resumed.
t.test("random bytes in the ids of events cost at most their own stream", async (t) => {
  const { script, callOdd, isSound, stop } = await startOdd();
  const property = fc.asyncProperty(bytes, async (odd) => {
    script.answer = (id, socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-type: text/event-stream\r\n\r\n`);
      socket.write(`${event(1)}id: ${odd}\ndata: x\n\n`, "latin1");
      setTimeout(() => socket.resetAndDestroy(), 5);
    };
    await callOdd("/p1/");
    return isSound();
  });
  await fc.assert(property, { ...run, numRuns: 60 });
  t.pass();
  await stop();
});

// Guards against names in a document or a list of targets that end a gateway (review/3).
t.test("random names of targets and teams cost at most their own requests", async (t) => {
  const { state, gateway, call, isSound, targets, stop } = await startOdd();
  let version = 1;
  const property = fc.asyncProperty(anyName, anyName, async (id, name) => {
    version += 1;
    const teams = [...(document.teams ?? []), { name, keys: ["key-odd"], priority: null }];
    const flags = { isDraining: false, isLeaving: false, isGone: false };
    const place = { service: "app", address: targets[0]!.address, failureDomain: "a", slots: 4 };
    state.otherTargets.splice(0, 1, { ...flags, ...place, id, bornMs: 1, sequence: 1 });
    state.document = { ...document, version, teams };
    await waitUntil("the document arrives", () => (gateway.view.version === version ? true : null));
    await call({ path: "/p0/", method: "POST", headers: { "x-key": "key-odd" } }, `t-${version}`, "x");
    return isSound();
  });
  await fc.assert(property, { ...run, numRuns: 25 });
  t.pass();
  await stop();
});

// Guards against a response that broke off, by an end or a reset at any place, and looks complete (review/1).
t.test("a response that is cut at a random place never looks complete", async (t) => {
  const { script, callOdd, isSound, stop } = await startOdd();
  const body = event(1) + event(2) + event(3);
  const framings: Readonly<Record<string, (id: string) => string>> = {
    length: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    chunks: (id) => `${responses.streamHead(id)}${responses.chunk(body)}${responses.streamEnd}`,
    none: (id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-type: text/event-stream\r\n\r\n${body}`,
  };
  const framing = fc.constantFrom("none", ...Object.keys(framings));
  const path = fc.constantFrom("/p0/", "/p2/");
  /** Share of the response, or a whole number of events. */
  const place = fc.oneof(
    fc.double({ min: 0, max: 1, noNaN: true, maxExcluded: true }),
    fc.constantFrom(1, 2),
  );
  const gapMs = fc.constantFrom(...cutGapsMs);
  const property = fc.asyncProperty(
    framing,
    path,
    place,
    gapMs,
    fc.boolean(),
    async (name, path, share, gapMs, isReset) => {
      script.answer = async (id, socket) => {
        const response = framings[name]?.(id) ?? "";
        const isWhole = Number.isInteger(share) && share > 0;
        const end = isWhole ? response.indexOf(event(share + 1)) : Math.floor(response.length * share);
        const sent = response.slice(0, end);
        const lastEvent = Math.max(0, sent.lastIndexOf("id: "));
        socket.setNoDelay(true);
        socket.write(sent.slice(0, lastEvent));
        await delay(gapMs);
        socket.write(sent.slice(lastEvent));
        await delay(gapMs);
        if (isReset) {
          resetSocket(socket);
        } else {
          socket.end();
        }
      };
      const answer = await callOdd(path);
      const isCut = answer?.isComplete !== true || answer.status !== 200 || answer.body === body;
      // The end of a response without a length is its end, unless it is within an event.
      const isEnd = name === "none" && !isReset && !(path === "/p2/" && !answer?.body.endsWith("\n\n"));
      return (isCut || isEnd) && isSound();
    },
  );
  await fc.assert(property, { ...run, numRuns: 100 });
  t.pass();
  await stop();
});
