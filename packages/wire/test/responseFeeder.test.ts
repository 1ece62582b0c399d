import { once } from "node:events";
import { Agent } from "node:http";
import type { IncomingMessage } from "node:http";
import { Agent as SecureAgent } from "node:https";
import { setTimeout as delay } from "node:timers/promises";
import { generate } from "selfsigned";
import t from "tap";
import { closeIdleOnData } from "@clementinemux/wire/closeIdleOnData";
import { FedCall } from "./helpers/FedCall";
import { ScriptedServer } from "./helpers/ScriptedServer";

const head = "HTTP/1.1 200 OK\r\n";
const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;
const chunk = "1\r\nx\r\n";
const complete = `${chunked}${chunk.repeat(20)}0\r\n\r\n`;
/** One read of a socket holds all of them. */
const manyChunks = chunk.repeat(3000);
const manyBytes = "x".repeat(3000);

function createAgent(): Agent {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  closeIdleOnData(agent);
  return agent;
}

// Guards against responses that are lost or mixed up on a kept-alive connection, wherever their bytes are split.
t.test("responses of one connection are complete", async (t) => {
  let cut = 0;
  const server = await ScriptedServer.start(t, (socket) => {
    socket.write(complete.slice(0, cut));
    setImmediate(() => socket.write(complete.slice(cut)));
  });
  const agent = createAgent();
  for (; cut < complete.length; cut += 1) {
    const call = new FedCall({ port: server.port, agent });
    await call.done;
    t.equal(call.text, `${"x".repeat(20)} end`, `cut at ${cut}`);
  }
  t.equal(server.sockets.length, 1);
});

// Guards against a turn of the event loop that lasts for all chunks of a read, and against an endless response.
t.test("small chunks are parsed in turns and limited", async (t) => {
  const server = await ScriptedServer.start(t, (socket) => socket.write(chunked + chunk.repeat(50_000)));
  const call = new FedCall({ port: server.port });
  await call.done;
  t.same(call.exceeded, ["too many small pieces of a body"]);
  t.ok(call.pieces >= 4096 && call.pieces < 6000, `${call.pieces} pieces`);
  t.ok(call.maxPiecesPerTurn < 1500, `${call.maxPiecesPerTurn} pieces in a turn`);
});

// Guards against framing without an end that a byte of the body now and then makes look like a response.
for (const [name, more] of Object.entries({
  "line ends before the head": "\r\n".repeat(60_000),
  "extensions of each chunk": `${chunked}${`1;${"e".repeat(8000)}\r\nx\r\n`.repeat(20)}`,
})) {
  t.test(`${name} are limited`, async (t) => {
    const server = await ScriptedServer.start(t, (socket) => socket.write(more));
    const call = new FedCall({ port: server.port });
    await call.done;
    t.same(call.exceeded, ["too many framing bytes for the body"]);
  });
}

// Guards against bytes that are lost when a connection ends while they wait for a turn or for a paused consumer.
for (const isPaused of [false, true]) {
  t.test(`held bytes are parsed before the end, ${isPaused ? "" : "not "}paused`, async (t) => {
    const server = await ScriptedServer.start(t, (socket) => {
      socket.end(chunked + manyChunks);
    });
    const call = new FedCall({ port: server.port });
    call.request.once("response", () => {
      if (isPaused) {
        call.feeder.pause();
      }
    });
    if (isPaused) {
      await delay(100);
      t.equal(call.pieces, 0);
      call.feeder.resume();
    }
    await call.done;
    t.equal(call.text, `${manyBytes} aborted`);
  });
}

// Guards against a reset that hides what was received before it.
t.test("held bytes are parsed before a reset", async (t) => {
  const server = await ScriptedServer.start(t, (socket) => socket.write(chunked + manyChunks));
  const call = new FedCall({ port: server.port });
  call.request.once("response", () => server.sockets[0]!.resetAndDestroy());
  await call.done;
  t.match(call.text, new RegExp(`^${manyBytes} .*ECONNRESET`));
});

// Guards against a slow consumer for which a response is held as one object for each of its bytes.
for (const name of ["call", "response"]) {
  t.test(`a paused ${name} is not parsed`, async (t) => {
    const server = await ScriptedServer.start(t, (socket) =>
      socket.write(`${chunked}${manyChunks}0\r\n\r\n`),
    );
    const call = new FedCall({ port: server.port });
    const [response] = (await once(call.request, "response")) as [IncomingMessage];
    const paused = name === "call" ? call.feeder : response;
    paused.pause();
    await delay(50);
    t.ok(call.pieces + response.readableLength < 700, `${response.readableLength} pieces`);
    paused.resume();
    await call.done;
    t.equal(call.text, `${manyBytes} end`);
  });
}

// Guards against bytes after a response that the next request of the connection takes for its own response.
t.test("further bytes close the connection", async (t) => {
  const stray = `${head}Content-Length: 5\r\n\r\nstray`;
  for (const first of [complete, `${head}Content-Length: 4052\r\n\r\n${"x".repeat(4052)}`]) {
    const server = await ScriptedServer.start(t, (socket) => {
      socket.write(first + (server.sockets.length === 1 ? stray : ""));
    });
    const agent = createAgent();
    await new FedCall({ port: server.port, agent }).done;
    const call = new FedCall({ port: server.port, agent });
    await call.done;
    t.match(call.text, /^x+ end$/);
    t.equal(server.sockets.length, 2);
  }
});

// Guards against a feeder that works on plain sockets only.
t.test("responses over TLS are fed", async (t) => {
  const { private: key, cert } = await generate([{ name: "commonName", value: "server" }]);
  let response = complete;
  const server = await ScriptedServer.start(t, (socket) => socket.write(response), { key, cert });
  const agent = new SecureAgent({
    keepAlive: true,
    maxSockets: 1,
    ca: cert,
    checkServerIdentity: () => undefined,
  });
  for (let index = 0; index < 2; index += 1) {
    const call = new FedCall({ port: server.port, agent }, true);
    await call.done;
    t.equal(call.text, `${"x".repeat(20)} end`);
  }
  response = chunked + chunk.repeat(50_000);
  const call = new FedCall({ port: server.port, agent }, true);
  await call.done;
  t.same(call.exceeded, ["too many small pieces of a body"]);
  t.equal(server.sockets.length, 1);
});

// Guards against a response that stands still or loses bytes when its consumer stops and continues at any time.
t.test("responses to slow consumers are complete", async (t) => {
  const pieces = Array.from({ length: 300 }, (_, index) =>
    "abcdefg".repeat(index % 7 === 0 ? 300 : 1 + (index % 3)),
  );
  const body = pieces.join("");
  const chunks = pieces.map((piece) => `${piece.length.toString(16)}\r\n${piece}\r\n`);
  const responses = [
    `${chunked}${chunks.join("")}0\r\n\r\n`,
    `${head}Content-Length: ${body.length}\r\n\r\n${body}`,
    `${head}Connection: close\r\n\r\n${body}`,
  ];
  for (const [index, response] of responses.entries()) {
    const server = await ScriptedServer.start(t, (socket) => {
      socket.write(response);
      if (response.includes("close")) {
        socket.end();
      }
    });
    const agent = createAgent();
    for (let pauseMs = 0; pauseMs < 10; pauseMs += 1) {
      const call = new FedCall({ port: server.port, agent });
      call.request.once("response", (received: IncomingMessage) => {
        received.on("data", () => {
          if (call.pieces % (10 + pauseMs) === 0) {
            call.feeder.pause();
            setTimeout(() => {
              call.feeder.resume();
            }, pauseMs % 3);
          }
        });
      });
      await call.done;
      t.equal(call.text, `${body} end`, `response ${index}, pauses of ${pauseMs % 3} ms`);
    }
    agent.destroy();
  }
});
