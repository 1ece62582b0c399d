import { get } from "node:http";
import { connect } from "node:net";
import t from "tap";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { createDocument } from "../../routes/test/createDocument";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

const nonIdempotent = { kind: RouteKind.NonIdempotent, attempts: 2 };
const stream = { kind: RouteKind.Streaming, canResume: true, attempts: 2 };

function createTarget(text = "ok"): TestTarget {
  return new TestTarget(({ id }, socket) => socket.write(responses.whole(id, text)));
}

t.test("method, path, query and body are forwarded unchanged, the key is not", async (t) => {
  const target = createTarget();
  const { call, stop } = await startGateway(createDocument(1), [target]);
  const headers = { "x-other": "1", connection: "x-private", "x-private": "2", "x-team": "mine" };
  const response = await call({ path: "/p0/a%20b?c=d", method: "POST", headers }, "r1", "the body");
  t.match(response, { status: 200, body: "ok", isComplete: true });
  const [request] = target.requests;
  t.match(request?.head, /^POST \/p0\/a%20b\?c=d HTTP\/1\.1/);
  t.equal(request?.body, "the body");
  t.match(request?.head, /x-other: 1/);
  t.match(request?.head, /x-team: team-a/);
  t.notMatch(request?.head, /key-a|x-private/, "guards against a key that is forwarded");
  await stop();
});

// Guards against outcomes and times that are missing from the metrics page.
t.test("metrics count the outcomes of requests", async (t) => {
  const { gateway, call, stop } = await startGateway(createDocument(1), [createTarget()]);
  await call({ path: "/p0/" }, "r1");
  await call({ path: "/none/" }, "r2");
  const text = gateway.renderMetrics();
  t.match(text, 'clementinemux_gateway_ends{end="answered"} 1\n');
  t.match(text, 'clementinemux_gateway_ends{end="no_route"} 1\n');
  t.match(text, "clementinemux_gateway_answer_seconds_count 1\n");
  t.match(text, "clementinemux_gateway_document_version 1\n");
  await stop();
});

t.test("unknown keys, unknown routes and too large bodies are rejected", async (t) => {
  const target = createTarget();
  const { call, stop } = await startGateway(createDocument(1, [{}, { isPublic: true }]), [target]);
  t.equal((await call({ path: "/p0/", headers: { "x-key": "none" } }, "r1")).status, 401);
  t.equal((await call({ path: "/p1/", headers: { "x-key": "none" } }, "r2")).status, 200);
  t.equal((await call({ path: "/none/" }, "r3")).status, 404);
  t.equal((await call({ path: "/p0/", method: "POST" }, "r4", "x".repeat(5000))).status, 413);
  t.equal(target.requests.length, 1);
  await stop();
});

t.test("an unsafe request whose connection breaks is not sent again", async (t) => {
  const targets = [0, 1].map(() => new TestTarget((_, socket) => socket.resetAndDestroy()));
  const { call, stop } = await startGateway(createDocument(1, [nonIdempotent]), targets);
  const response = await call({ path: "/p0/", method: "POST" }, "r1", "pay");
  t.equal(response.status, 502, "neither 429 nor 503: it may have run");
  t.equal(
    targets.reduce((sum, { requests }) => sum + requests.length, 0),
    1,
    "guards against running twice",
  );
  await stop();
});

t.test("an unsafe request that a target states not to have run is sent to another", async (t) => {
  const targets = [0, 1].map(
    () =>
      new TestTarget(({ id }, socket) => {
        const isFirst = targets.reduce((sum, { requests }) => sum + requests.length, 0) === 1;
        socket.write(isFirst ? responses.notRun(id) : responses.whole(id, "paid"));
      }),
  );
  const { call, stop } = await startGateway(createDocument(1, [nonIdempotent]), targets);
  t.match(await call({ path: "/p0/", method: "POST" }, "r1", "pay"), { status: 200, body: "paid" });
  await stop();
});

t.test("a request that no target has run is rejected with a Retry-After", async (t) => {
  const target = new TestTarget(({ id }, socket) => socket.write(responses.notRun(id)));
  const { call, stop } = await startGateway(createDocument(1, [nonIdempotent]), [target]);
  const response = await call({ path: "/p0/", method: "POST" }, "r1", "pay");
  t.equal(response.status, 503);
  t.ok(Number(response.headers["retry-after"]) > 0);
  await stop();
});

t.test("a response to another request is not delivered", async (t) => {
  const target = new TestTarget((_, socket) => socket.write(responses.whole("other", "secret")));
  const { call, stop } = await startGateway(createDocument(1, [nonIdempotent]), [target]);
  const response = await call({ path: "/p0/", method: "POST" }, "r1", "x");
  t.equal(response.status, 502);
  t.notMatch(response.body, /secret/);
  await stop();
});

t.test("a successful response without a signature is not delivered", async (t) => {
  const target = new TestTarget(({ id }, socket) => {
    socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-unsigned: 1\r\ncontent-length: 2\r\n\r\nok`);
  });
  const { call, stop } = await startGateway(createDocument(1, [nonIdempotent]), [target]);
  t.equal((await call({ path: "/p0/", method: "POST" }, "r1", "x")).status, 502);
  await stop();
});

t.test("a connection that receives bytes while idle is not reused", async (t) => {
  const target = new TestTarget(({ id }, socket) => {
    socket.write(responses.whole(id, "first"));
    setTimeout(() => socket.write(responses.whole("r2", "stale")), 30);
  });
  const { call, stop } = await startGateway(createDocument(1), [target]);
  t.equal((await call({ path: "/p0/" }, "r1")).body, "first");
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.equal((await call({ path: "/p0/" }, "r2")).body, "first", "guards against a late extra response");
  t.ok(target.closed >= 1);
  await stop();
});

// Guards against a second copy of a response that is taken for the response to the next request on the
// connection.
t.test("a second copy of a response, at once or with the next request, is not delivered", async (t) => {
  let copy = "";
  const target = new TestTarget(({ id }, socket) => {
    const response = responses.whole(id, `for ${id}`);
    const isEven = Number(id.slice(1)) % 2 === 0;
    // Even requests get their response twice in one write; the others first receive the copy of the last
    // response.
    socket.write(isEven ? response + response : copy + response);
    copy = response;
  });
  const { call, stop } = await startGateway(createDocument(1, [{ attempts: 1 }]), [target]);
  for (let request = 0; request < 12; request += 1) {
    const { status, body } = await call({ path: "/p0/" }, `r${request}`);
    t.ok(status === 200 ? body === `for r${request}` : status === 502, `${status} ${body}`);
  }
  await stop();
});

t.test("requests without an id share no connection", async (t) => {
  const target = new TestTarget((_, socket) => {
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
  });
  const { callerPort, stop } = await startGateway(createDocument(1), [target]);
  for (let request = 0; request < 3; request += 1) {
    const headers = { "x-key": "key-a" };
    const text = await new Promise<string>((resolve, reject) => {
      const sent = get({
        port: callerPort,
        path: "/p0/",
        agent: false,
        headers: { ...headers, host: "app.test" },
      });
      sent.on("error", reject);
      sent.on("response", (response) => {
        response.setEncoding("utf8");
        response.once("data", resolve);
      });
    });
    t.equal(text, "ok");
  }
  await waitUntil("each request has its own connection", () => (target.closed === 3 ? true : null), 1000);
  t.equal(target.requests.length, 3);
  await stop();
});

t.test("a truncated response is not delivered as complete", async (t) => {
  const target = new TestTarget(({ id }, socket) => {
    socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 10\r\n\r\nhalf`);
  });
  const { call, stop } = await startGateway(createDocument(1, [nonIdempotent]), [target]);
  t.equal((await call({ path: "/p0/", method: "POST" }, "r1", "x")).status, 502);
  await stop();
});

// Guards against a response whose end is that of its connection, as an ended gateway would look like a complete one.
t.test("a response without a length is forwarded with one once it has ended in order", async (t) => {
  const target = new TestTarget(({ id }, socket) => {
    socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\nperhaps half`);
  });
  const { call, stop } = await startGateway(createDocument(1), [target]);
  const response = await call({ path: "/p0/" }, "r1");
  t.equal(response.body, "perhaps half");
  t.equal(response.headers["content-length"], "12");
  t.equal(response.isComplete, true);
  await stop();
});

t.test("a target's failure is retried elsewhere, and delivered if the retry fails too", async (t) => {
  const targets = [0, 1].map(
    () => new TestTarget(({ id }, socket) => socket.write(responses.whole(id, "failed", "500 Oops"))),
  );
  const { call, stop } = await startGateway(createDocument(1), targets);
  t.match(await call({ path: "/p0/" }, "r1"), { status: 500, body: "failed" });
  t.equal(
    targets.reduce((sum, { requests }) => sum + requests.length, 0),
    2,
  );
  await stop();
});

t.test("a broken stream resumes at another target, each event once", async (t) => {
  const targets = [0, 1].map(
    () =>
      new TestTarget(({ id, head }, socket) => {
        const after = /x-after: (\d+)/.exec(head)?.[1];
        if (after === undefined) {
          socket.write(responses.streamHead(id) + responses.chunk(responses.event(1) + responses.event(2)));
          setTimeout(() => {
            socket.write(responses.chunk("id: 3\ndata: half"));
            setTimeout(() => socket.resetAndDestroy(), 20);
          }, 20);
        } else {
          const events =
            responses.chunk(responses.event(2)) + responses.chunk(responses.event(3) + responses.event(4));
          socket.write(responses.streamHead(id) + events + responses.streamEnd);
        }
      }),
  );
  const { call, stop } = await startGateway(createDocument(1, [stream]), targets);
  const response = await call({ path: "/p0/", method: "POST" }, "r1", "x");
  t.equal(response.body, [1, 2, 3, 4].map(responses.event).join(""));
  t.ok(response.isComplete);
  await stop();
});

t.test("a stream that cannot be resumed ends visibly", async (t) => {
  const target = new TestTarget(({ id }, socket) => {
    socket.write(responses.streamHead(id) + responses.chunk(responses.event(1)));
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  const { call, stop } = await startGateway(createDocument(1, [{ ...stream, canResume: false }]), [target]);
  const response = await call({ path: "/p0/", method: "POST" }, "r1", "x");
  t.equal(response.body, responses.event(1));
  t.notOk(response.isComplete, "guards against a break that looks like the end");
  await stop();
});

t.test("a caller that disconnects ends the request at the target", async (t) => {
  const target = new TestTarget(({ id }, socket) =>
    socket.write(responses.streamHead(id) + responses.chunk(responses.event(1))),
  );
  const { open, stop } = await startGateway(createDocument(1, [stream]), [target]);
  const sent = open({ path: "/p0/", method: "POST" }, "r1");
  sent.on("error", () => undefined);
  sent.on("response", (response) => {
    response.on("error", () => undefined);
    response.once("data", () => sent.destroy());
  });
  sent.end("x");
  await waitUntil("the target sees its connection close", () => (target.closed === 1 ? true : null), 500);
  t.equal(target.closed, 1);
  await stop();
});

t.test("the route's timeout ends a request without a response", async (t) => {
  const target = new TestTarget(() => undefined);
  const { call, stop } = await startGateway(createDocument(1, [{ ...nonIdempotent, timeoutMs: 150 }]), [
    target,
  ]);
  const startedMs = Date.now();
  t.equal((await call({ path: "/p0/", method: "POST" }, "r1", "x")).status, 504);
  t.ok(Date.now() - startedMs < 600);
  await stop();
});

t.test("malformed requests are rejected without effect on others", async (t) => {
  const target = createTarget();
  const { call, callerPort, stop } = await startGateway(createDocument(1), [target]);
  const malformed = [
    "POST /p0/ HTTP/1.1\r\nhost: app.test\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST /p0/ HTTP/1.1\r\nhost: app.test\r\ncontent-length: 3, 4\r\n\r\nabc",
    "GET /p0/ HTTP/1.1\nhost: app.test\r\nx-key: key-a\r\n folded: 1\r\n\r\n",
  ];
  for (const bytes of malformed) {
    const text = await new Promise<string>((resolve) => {
      let received = "";
      const socket = connect(callerPort, "127.0.0.1", () => socket.write(bytes));
      socket.on("data", (chunk) => (received += chunk.toString()));
      socket.on("close", () => {
        resolve(received);
      });
    });
    t.match(text, /^HTTP\/1\.1 400/, "guards against a request that is smuggled inside another");
  }
  t.equal(target.requests.length, 0);
  t.equal((await call({ path: "/p0/" }, "r1")).status, 200);
  await stop();
});
