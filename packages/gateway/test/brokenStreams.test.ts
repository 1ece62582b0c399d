import { connect } from "node:net";
import t from "tap";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

const { streamHead, chunk, event, streamEnd } = responses;
const streaming = { kind: RouteKind.Streaming, canResume: true, attempts: 2, timeoutMs: 5000 };
const document = createDocument(1, [streaming]);
const errorText = "out of memory";

function unframedHead(id: string, type = "text/event-stream"): string {
  return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-type: ${type}\r\n\r\n`;
}

/** Answers of the target at which a broken stream is to be resumed. */
const secondAnswers: Readonly<Record<string, (id: string) => string>> = {
  "500 with a body": (id) => responses.whole(id, errorText, "500 Internal Server Error"),
  "404 with a body": (id) => responses.whole(id, errorText, "404 Not Found"),
  "503 that has run": (id) => responses.whole(id, errorText, "503 Service Unavailable"),
  "200 that is no stream": (id) => responses.whole(id, errorText),
  "200 without a length that is no stream": (id) => unframedHead(id, "text/plain") + errorText,
  "not run": (id) => responses.notRun(id),
  "part of an event": (id) => streamHead(id) + chunk(`id: 3\ndata: ${errorText}`) + streamEnd,
};

// Guards against the text of an error inside a stream that has begun, and against a broken stream that looks complete.
for (const [name, answer] of Object.entries(secondAnswers)) {
  t.test(`a broken stream is not continued by ${name}`, async (t) => {
    let sends = 0;
    const targets = [0, 1].map(
      () =>
        new TestTarget(({ id }, socket) => {
          sends += 1;
          if (sends === 1) {
            socket.write(streamHead(id) + chunk(event(1)) + chunk(event(2)) + chunk("id: 3\nda"));
            setTimeout(() => socket.resetAndDestroy(), 50);
          } else {
            socket.end(answer(id));
          }
        }),
    );
    const { call, stop } = await startGateway(document, targets);
    const { status, body, isComplete } = await call({ method: "POST", path: "/p0/x" }, "r1", "x");
    t.equal(sends, 2);
    t.equal(status, 200);
    t.equal(body, event(1) + event(2));
    t.equal(isComplete, false);
    await stop();
  });
}

interface RawResponse {
  readonly text: string;
  /** Whether the connection was reset. */
  readonly isReset: boolean;
}

/** Sends a request over a connection of its own; resolves when that has ended. */
function callRaw(port: number, id: string): Promise<RawResponse> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1");
    let text = "";
    let isReset = false;
    socket.on("data", (bytes) => (text += bytes.toString()));
    socket.on("error", () => (isReset = true));
    socket.on("close", () => {
      resolve({ text, isReset });
    });
    const headers = `host: app.test\r\nx-id: ${id}\r\nx-key: key-a\r\nconnection: close\r\ncontent-length: 1`;
    socket.write(`POST /p0/x HTTP/1.1\r\n${headers}\r\n\r\nx`);
  });
}

// Guards against a broken response that looks complete, since its end is the end of its connection.
t.test("a response without a length that breaks off is reset", async (t) => {
  for (const type of ["text/event-stream", "text/plain"]) {
    const target = new TestTarget(({ id }, socket) => {
      socket.write(unframedHead(id, type) + event(1));
      setTimeout(() => socket.resetAndDestroy(), 50);
    });
    const once = createDocument(1, [{ ...streaming, attempts: 1 }]);
    const { callerPort, stop } = await startGateway(once, [target]);
    const { text, isReset } = await callRaw(callerPort, "r1");
    const isError = text.startsWith("HTTP/1.1 502");
    t.ok(isReset || isError || /transfer-encoding: chunked/i.test(text), text);
    t.notOk(text.endsWith("\r\n0\r\n\r\n"), "no end of the body");
    await stop();
  }
});

// Guards against a complete stream that is cut, or an incomplete event that is passed on.
t.test("a stream without a length ends with its connection, unless that is within an event", async (t) => {
  let bytes = "";
  const target = new TestTarget(({ id }, socket) => {
    socket.end(unframedHead(id) + bytes);
  });
  const once = createDocument(1, [{ ...streaming, attempts: 1 }]);
  const { callerPort, stop } = await startGateway(once, [target]);
  bytes = event(1) + event(2);
  const whole = await callRaw(callerPort, "r1");
  t.equal(whole.isReset, false);
  t.ok(whole.text.endsWith("\r\n0\r\n\r\n"), "the end of the body");
  t.ok(whole.text.includes(event(2)));
  bytes = event(1) + "id: 2\ndata: e";
  const broken = await callRaw(callerPort, "r2");
  t.notOk(broken.text.includes("id: 2"));
  t.ok(broken.isReset || /transfer-encoding: chunked/i.test(broken.text));
  t.notOk(broken.text.endsWith("\r\n0\r\n\r\n"));
  await stop();
});

// Guards against an id of an event that ends the gateway when its stream is resumed, as no header can carry it, and against
// one that no target would accept as a header.
t.test("a stream is not resumed after an event whose id no header can carry", async (t) => {
  for (const id of ["\u0000", "1\u00012", "\u007f", "3\r4", "5".repeat(2000)]) {
    const targets = [0, 1].map(
      () =>
        new TestTarget((request, socket) => {
          socket.write(streamHead(request.id) + chunk(event(1)) + chunk(`id: ${id}\ndata: x\n\n`));
          setTimeout(() => socket.resetAndDestroy(), 50);
        }),
    );
    const { call, stop } = await startGateway(document, targets);
    const { status, body, isComplete } = await call({ method: "POST", path: "/p0/x" }, "r1", "x");
    t.same([status, isComplete], [200, false], JSON.stringify(id));
    t.equal(body, `${event(1)}id: ${id}\ndata: x\n\n`);
    t.equal(targets.flatMap(({ requests }) => requests).length, 1);
    await stop();
  }
});
