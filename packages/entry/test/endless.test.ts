import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { TargetKind } from "@clementinemux/common/TargetKind";
import { TargetRole } from "@clementinemux/common/TargetRole";
import { headerNames } from "@clementinemux/common/headerNames";
import { ModelAttempt } from "@clementinemux/entry/ModelAttempt";
import { ResumeMode } from "@clementinemux/entry/ResumeMode";
import { SseParser } from "@clementinemux/entry/SseParser";
import { StreamFault } from "@clementinemux/entry/StreamFault";
import { TargetLink } from "@clementinemux/entry/TargetLink";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import { AttemptEndKind } from "@clementinemux/policy/AttemptEndKind";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { EndlessTarget } from "../../wire/test/helpers/EndlessTarget";
import { endlessResponses } from "../../wire/test/helpers/endlessResponses";

// Only a hanging test takes this long.
t.setTimeout(90_000);

const clock = new SystemClock();
const readNowMs = (): number => clock.monotonicMs();
const speeds = { "at full speed": 0, slowly: 20 };
/** More than the response and the socket buffers of both sides together. */
const maxBytes = 33_554_432;

async function openLink(target: EndlessTarget): Promise<TargetLink> {
  const announcement = {
    target: "engine-0",
    incarnation: "00000000000001-0",
    address: `127.0.0.1:${await target.listen()}`,
    failureDomain: "fd-0",
    region: "r",
    kind: TargetKind.Engine,
    models: ["demo"],
    adapters: [],
    version: "",
    role: TargetRole.Both,
    service: "",
    group: "",
    rank: 0,
    checksFencing: false,
  };
  return new TargetLink(announcement, {
    connectTimeoutMs: 500,
    tls: undefined,
    onCacheEvents: () => undefined,
  });
}

for (const [speed, writeIntervalMs] of Object.entries(speeds)) {
  for (const [name, { first, full, slow }] of Object.entries(endlessResponses)) {
    // Guards against a faulty agent whose state report fills the memory of an entry, or never ends.
    t.test(`state report, ${speed}: ${name}`, async (t) => {
      const target = new EndlessTarget({
        first: () => first(""),
        more: writeIntervalMs === 0 ? full : slow,
        writeIntervalMs,
      });
      const link = await openLink(target);
      t.teardown(async () => {
        await link.destroy();
        target.close();
      });
      const startedMs = performance.now();
      await link.poll(300, readNowMs);
      t.ok(performance.now() - startedMs < 1500);
      t.notOk(link.getView(readNowMs(), 1000).accepting);
      // Polled twice, the second time over a new connection.
      await waitUntil("the connections are closed", () => (target.closedCount === 2 ? true : null), 1000);
      if (name.startsWith("a body")) {
        t.ok(target.sentBytes < maxBytes, `${target.sentBytes} bytes were read`);
      }
    });
  }
}

const streamHead = (head: string): string => {
  const id = /clementinemux-attempt: (\S+)/i.exec(head)?.[1] ?? "";
  return `HTTP/1.1 200 OK\r\n${headerNames.attemptId}: ${id}\r\ncontent-type: text/event-stream\r\n\r\n`;
};
const smallPieces = {
  "chunks of one byte": "1\r\nx\r\n",
  "chunks of six bytes": "6\r\nabcdef\r\n",
  "no chunk, but its size": "0000000",
  "no chunk, but its extension": "1;xxxxx",
  "chunks with long extensions": `1;${"x".repeat(200)}\r\nx\r\n`,
};
const createToken = (index: number): string =>
  `data: {"id":"a-1","token_index":${index},"choices":[{"text":"x","finish_reason":null}]}\n\n`;
const finalEvents = `data: {"id":"a-1","choices":[{"text":"","finish_reason":"stop"}]}\n\ndata: [DONE]\n\n`;

/** Runs an attempt with a limit of 10 tokens and collects the events for its session. */
async function runAttempt(target: EndlessTarget) {
  const link = await openLink(target);
  const received = { tokens: 0, completed: 0, faults: [] as StreamFault[], ends: [] as AttemptEndKind[] };
  const attempt = new ModelAttempt(
    {
      attemptId: "a-1",
      link,
      path: "/v1/completions",
      headers: { [headerNames.attemptId]: "a-1" },
      modes: [ResumeMode.Fresh],
      sentTokenCount: 0,
      maxTokenCount: 10,
      resumeHeaders: {},
      kvHeaders: {},
      createBody: () => "{}",
      repeatable: true,
      mayWrite: () => true,
      readNowMs,
    },
    {
      onToken: () => {
        received.tokens += 1;
        return true;
      },
      onChunkEnd: () => undefined,
      onFault: (_attempt, fault) => {
        received.faults.push(fault);
      },
      onCompleted: () => {
        received.completed += 1;
      },
      onCachedTokens: () => undefined,
      onEnded: (_attempt, end) => {
        received.ends.push(end);
      },
      onRejected: () => undefined,
      onNotResumable: () => undefined,
    },
  );
  attempt.start();
  const stop = async (): Promise<void> => {
    await link.destroy();
    target.close();
  };
  return { attempt, received, stop };
}

for (const [name, piece] of Object.entries(smallPieces)) {
  // Guards against an engine that keeps the entry busy with tiny chunks until a timeout, or exhausts its memory.
  t.test(`response in small pieces: ${name}`, async (t) => {
    const target = new EndlessTarget({
      first: (head) => streamHead(head).replace("\r\n\r\n", "\r\ntransfer-encoding: chunked\r\n\r\n"),
      more: piece.repeat(10_000),
      writeIntervalMs: 0,
    });
    const { received, stop } = await runAttempt(target);
    await waitUntil("the connection is closed", () => (target.closedCount === 1 ? true : null), 1000);
    t.same(received, { tokens: 0, completed: 0, faults: [], ends: [AttemptEndKind.StreamBroken] });
    await stop();
  });
}

// Guards against a parser that searches an incomplete event again at each piece, which blocks the entry.
t.test("a large event in pieces of one byte", (t) => {
  const event = "x".repeat(200_000);
  const parser = new SseParser(262_144);
  const startedMs = performance.now();
  const events = [...Buffer.from(`${event}\r\n\r\n`)].flatMap((byte) => parser.push(Buffer.of(byte)));
  t.ok(performance.now() - startedMs < 2000);
  t.ok(events.length === 1 && events[0] === event);
  t.end();
});

for (const [speed, writeIntervalMs] of Object.entries(speeds)) {
  for (const [name, more] of Object.entries({ tokens: createToken(1), "one event": "x" })) {
    // Guards against an engine that keeps sending after the end of its response: the connection was read
    // until the engine closed it, and its events still reached the session.
    t.test(`data after a complete response, ${speed}: ${name}`, async (t) => {
      const first = (head: string): string => `${streamHead(head)}${createToken(0)}${finalEvents}`;
      const target = new EndlessTarget({
        first,
        more: writeIntervalMs === 0 ? more.repeat(1000) : more,
        writeIntervalMs,
      });
      const { received, stop } = await runAttempt(target);
      await waitUntil("the connection is closed", () => (target.closedCount === 1 ? true : null), 3000);
      t.same(received, { tokens: 1, completed: 1, faults: [], ends: [] });
      t.ok(target.sentBytes < maxBytes, `${target.sentBytes} bytes were read`);
      await stop();
    });
  }

  // Guards against an engine that ignores the token limit: each token counts as progress, so no timeout ends
  // the stream, and a response without streaming fills the memory.
  t.test(`endless tokens, ${speed}`, async (t) => {
    const tokens = Array.from({ length: 1000 }, (_, index) => createToken(index)).join("");
    const first = (head: string): string => streamHead(head) + tokens;
    const target = new EndlessTarget({ first, more: createToken(1000), writeIntervalMs });
    const { received, stop } = await runAttempt(target);
    await waitUntil("the connection is closed", () => (target.closedCount === 1 ? true : null), 1000);
    t.same(received, {
      tokens: 10,
      completed: 0,
      faults: [StreamFault.TooManyTokens],
      ends: [AttemptEndKind.StreamBroken],
    });
    await stop();
  });

  for (const [name, { first, more }] of Object.entries({
    "an event": { first: `${createToken(0)}data: `, more: "x" },
    comments: { first: createToken(0), more: ": wait\n\n" },
    "empty events": { first: createToken(0), more: 'data: {"id":"a-1"}\n\n' },
    "the same token": { first: createToken(0), more: createToken(0) },
    "events of another request": { first: createToken(0), more: createToken(1).replace("a-1", "b-2") },
  })) {
    // Guards against received bytes counting as progress although no new token arrives, and against an entry that is kept
    // busy until a timeout.
    t.test(`stalled stream, ${speed}: ${name}`, async (t) => {
      const target = new EndlessTarget({
        first: (head) => streamHead(head) + first,
        more: writeIntervalMs === 0 ? more.repeat(1000) : more,
        writeIntervalMs,
      });
      const { attempt, received, stop } = await runAttempt(target);
      const defaults = {
        ...createDefaultConfig().defaults,
        tokenGapTimeoutMs: 300,
        firstTokenTimeoutMs: 300,
      };
      const timedOut = await waitUntil(
        "the attempt ends",
        () => attempt.checkProgress(readNowMs(), defaults) ?? received.ends[0] ?? null,
        1000,
      );
      attempt.abort();
      t.equal(timedOut, writeIntervalMs === 0 ? AttemptEndKind.StreamBroken : AttemptEndKind.TokenGapTimeout);
      await waitUntil("the connection is closed", () => (target.closedCount === 1 ? true : null), 1000);
      await stop();
    });
  }
}
