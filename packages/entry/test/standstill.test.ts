import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { RawConnection } from "../../wire/test/helpers/RawConnection";
import { blockEventLoop } from "../../wire/test/helpers/blockEventLoop";
import { requestModel } from "./requestModel";
import { startFleet } from "./startFleet";

// Reached only when a test hangs.
t.setTimeout(90_000);

/** Longer than the header timeout plus the interval at which Node checks it. */
const stallMs = 11_500;
/** Node checks its timeouts every second here, and a timeout postponed by the stall needs another check. */
const marginMs = 3000;
const body = '{"model":"demo","prompt":"x","max_tokens":2}';
const head =
  `POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer token-of-yard\r\n` +
  `content-type: application/json\r\ncontent-length: ${body.length}\r\n`;

async function startEntry() {
  const fleet = await startFleet();
  return { port: Number(new URL(fleet.urls[0]!).port), stop: fleet.stop };
}

// Guards against timers that fire before the sockets are read when a stalled process resumes: they closed
// connections on which complete requests were waiting.
t.test("an entry responds to requests that arrived while it was stalled", async (t) => {
  const { port, stop } = await startEntry();
  const [fresh, split] = (await RawConnection.openAll(port, 2)) as [RawConnection, RawConnection];
  split.send(head);
  await delay(50);
  split.send(`\r\n${body}`);
  fresh.send(`${head}\r\n${body}`);
  blockEventLoop(stallMs);
  for (const [name, connection] of Object.entries({ fresh, split })) {
    await connection.waitFor("\r\n\r\n");
    // A 503 is valid too, because the entry's lease expires during the stall.
    t.match(connection.text, /^HTTP\/1.1 (200|503)/, name);
    connection.close();
  }
  await stop();
});

// Guards against a tolerance for stalls that lets callers keep connections without a complete request, and
// that changes the response to malformed requests.
t.test("an entry ends connections without a complete request", async (t) => {
  const { port, stop } = await startEntry();
  const [slow, malformed, large] = (await RawConnection.openAll(port, 3)) as [
    RawConnection,
    RawConnection,
    RawConnection,
  ];
  slow.send(head);
  malformed.send("no request\r\n\r\n");
  large.send(`${head}x-large: ${"x".repeat(20_000)}\r\n\r\n`);
  await Promise.all([malformed, large].map((connection) => connection.waitForClose()));
  t.match(malformed.text, /^HTTP\/1.1 400 Bad Request\r\nConnection: close\r\n\r\n/);
  t.match(large.text, /^HTTP\/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n\r\n/);
  await delay(50);
  slow.send("x-more: 1\r\n");
  blockEventLoop(stallMs);
  const wokenAtMs = performance.now();
  await slow.waitForClose();
  t.ok(performance.now() - wokenAtMs < 10_000 + marginMs);
  t.match(slow.text, /^HTTP\/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n/);
  await stop();
});

// Guards against a stall of the entry that is taken for a silent engine, so that the entry cancels streams whose tokens wait in
// its sockets.
t.test("an entry that stalls does not time out the engines that it has not read from", async (t) => {
  const fleet = await startFleet({
    engine: { tokenIntervalMs: 10 },
    defaults: { tokenGapTimeoutMs: 150 },
  });
  t.teardown(() => fleet.stop());
  const { counts } = fleet.engines[0]!;
  const running = requestModel(fleet.urls[0]!, "p", { tokenCount: 100 });
  while (counts.tokens < 10) {
    await delay(5);
  }
  for (let stall = 0; stall < 5; stall += 1) {
    blockEventLoop(250);
    await delay(60);
  }
  t.ok((await running).isComplete);
  t.match(counts, { started: 1, cancelled: 0 });
});
