import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { createDocument } from "../../routes/test/createDocument";
import { RawConnection } from "../../wire/test/helpers/RawConnection";
import { blockEventLoop } from "../../wire/test/helpers/blockEventLoop";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

// Limit for a hang; a passing run stays far below it.
t.setTimeout(90_000);

const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 4096, headerTimeoutMs: 400, idleTimeoutMs: 400 };
/** The gateway applies the limits of its document with its next housekeeping. */
const limitsAppliedMs = 1500;
/** Longer than the header timeout and the idle timeout, each with the interval or margin that Node adds. */
const stallMs = 2500;
/** Margins of Node and of this test over a timeout. */
const marginMs = 2000;
const createHead = (id: string): string =>
  `POST /p0/ HTTP/1.1\r\nhost: app.test\r\nx-id: ${id}\r\nx-key: key-a\r\ncontent-length: 2\r\n`;
const createRequest = (id: string): string => `${createHead(id)}\r\n{}`;

async function startWithLimits() {
  const target = new TestTarget(({ id }, socket) => socket.write(responses.whole(id, "ok")));
  const started = await startGateway({ ...createDocument(1), limits }, [target]);
  await delay(limitsAppliedMs);
  return started;
}

/** Opens connections; the last one has served a request and is idle. */
async function openConnections(port: number, count: number): Promise<RawConnection[]> {
  const connections = await RawConnection.openAll(port, count);
  const idle = connections[count - 1]!;
  idle.send(createRequest("r-0"));
  await idle.waitFor("ok");
  t.match(idle.text, /^HTTP\/1.1 200/);
  idle.text = "";
  return connections;
}

// Guards against timers that fire before the sockets are read when a suspended process resumes: they closed
// connections on which complete requests were waiting.
t.test("a gateway that was stalled serves the requests that arrived meanwhile", async (t) => {
  const { callerPort, stop } = await startWithLimits();
  const [split, fresh, idle] = (await openConnections(callerPort, 3)) as [
    RawConnection,
    RawConnection,
    RawConnection,
  ];
  split.send(createHead("r-1"));
  await delay(50);
  split.send("\r\n{}");
  fresh.send(createRequest("r-2"));
  idle.send(createRequest("r-3"));
  blockEventLoop(stallMs);
  for (const [name, connection] of Object.entries({ split, fresh, idle })) {
    await connection.waitFor("ok");
    t.match(connection.text, /^HTTP\/1.1 200/, name);
    connection.close();
  }
  await stop();
});

// Guards against a tolerance for stalls that lets callers keep connections open without a complete request.
t.test("a gateway that stood still ends connections without a whole request", async (t) => {
  const { callerPort, stop } = await startWithLimits();
  const [silent, slow, blank, idle] = (await openConnections(callerPort, 4)) as [
    RawConnection,
    RawConnection,
    RawConnection,
    RawConnection,
  ];
  slow.send(createHead("r-1"));
  await delay(50);
  slow.send("x-more: 1\r\n");
  blank.send("\r\n");
  idle.send("\r\n");
  blockEventLoop(stallMs);
  const resumedAtMs = performance.now();
  await Promise.all([silent, slow, blank, idle].map((connection) => connection.waitForClose()));
  t.ok(performance.now() - resumedAtMs < limits.headerTimeoutMs + marginMs);
  t.match(slow.text, /^HTTP\/1.1 400/);
  await stop();
});

// Guards the header timeout itself: bytes that trickle in extend it at most once.
t.test("a caller that sends its headers too slowly is disconnected", async (t) => {
  const { callerPort, stop } = await startWithLimits();
  const [caller] = (await RawConnection.openAll(callerPort, 1)) as [RawConnection];
  const startedAtMs = performance.now();
  caller.send(createHead("r-1"));
  while (!caller.isClosed && performance.now() - startedAtMs < 10_000) {
    await delay(20);
    caller.send("x-more: 1\r\n");
  }
  t.ok(performance.now() - startedAtMs < 2 * limits.headerTimeoutMs + marginMs);
  t.match(caller.text, /^HTTP\/1.1 400/);
  await stop();
});
