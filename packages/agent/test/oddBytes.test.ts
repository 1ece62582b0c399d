import { request as requestHttp } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import t from "tap";
import { headerNames } from "@clementinemux/common/headerNames";
import { sendRaw } from "../../wire/test/helpers/sendRaw";
import { createAgentFleet } from "./helpers/createAgentFleet";

const host = "127.0.0.1";

/** Answers with raw bytes; polls of the agent are answered in order. */
function answerRaw(getAnswer: (socket: Socket) => void) {
  return (request: IncomingMessage, response: ServerResponse): void => {
    request.resume();
    const { socket } = response;
    if (request.url?.startsWith("/v1/") === true && socket !== null) {
      getAnswer(socket);
    } else {
      response.end("{}");
    }
  };
}

async function callRaw(port: number, line: string, headers: string): Promise<string> {
  const text = await sendRaw(port, `${line}\r\nhost: a\r\nconnection: close\r\n${headers}\r\n`);
  return text.split(" ")[1] ?? "closed";
}

// Guards against one response of the target that ends the agent, as Node's parser accepts heads that its writer refuses.
t.test("a response that cannot be passed on is told as an unknown outcome", async (t) => {
  let answer = "";
  const fleet = await createAgentFleet(answerRaw((socket) => socket.end(answer)));
  await fleet.waitUntilAccepting();
  for (const head of [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 200 OK\r\nx a: 1",
    "HTTP/1.1 200 OK\r\nx-a : 1",
  ]) {
    answer = `${head}\r\ncontent-length: 2\r\n\r\nok`;
    const { status, headers } = await fleet.send("/v1/x");
    t.same([status, headers[headerNames.targetLost]], [502, "1"], head);
  }
  answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
  t.match(await fleet.send("/v1/x"), { status: 200, text: "ok" });
  await fleet.close();
});

// Guards against one request that ends the agent, also by a header that the agent echoes.
t.test("a request that cannot be passed on gets 400", async (t) => {
  const answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
  const fleet = await createAgentFleet(answerRaw((socket) => socket.end(answer)));
  const { stamp } = await fleet.waitUntilAccepting();
  const permit = (id: string): string =>
    `${headerNames.stamp}: ${stamp}\r\n${headerNames.attemptId}: ${id}\r\n`;
  t.equal(await callRaw(fleet.port, "GET /v1/a\tb HTTP/1.1", permit("b1")), "400");
  t.equal(await callRaw(fleet.port, "GET /v1/a\fb HTTP/1.1", permit("b2")), "400");
  t.equal(await callRaw(fleet.port, "GET /v1/a HTTP/1.1", `${permit("b3")}x y: 1\r\n`), "400");
  for (let code = 0; code < 256; code += 1) {
    const status = await callRaw(
      fleet.port,
      "GET /v1/a HTTP/1.1",
      permit(`c${String.fromCharCode(code)}c${code}`),
    );
    t.ok(["200", "400", "503", "closed"].includes(status), `byte ${code}: ${status}`);
  }
  t.match(await fleet.send("/v1/x"), { status: 200, text: "ok" });
  await fleet.close();
});

// Guards against a response without a length that was cut by a reset and looks complete.
t.test("a response without a length whose connection is reset does not look complete", async (t) => {
  let isReset = true;
  const fleet = await createAgentFleet(
    answerRaw((socket) => {
      socket.write("HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nhalf");
      setTimeout(() => {
        if (isReset) {
          socket.resetAndDestroy();
        } else {
          socket.end(" and half");
        }
      }, 30);
    }),
  );
  const { stamp } = await fleet.waitUntilAccepting();
  const call = (id: string): Promise<readonly [string, boolean]> =>
    new Promise((resolve, reject) => {
      const headers = { [headerNames.stamp]: stamp, [headerNames.attemptId]: id };
      const sent = requestHttp(
        { host, port: fleet.port, path: "/v1/x", headers, agent: false },
        (response) => {
          let text = "";
          response.on("data", (bytes: Buffer) => (text += bytes.toString()));
          response.on("error", () => undefined);
          response.on("close", () => {
            resolve([text, response.complete]);
          });
        },
      );
      sent.on("error", reject);
      sent.end();
    });
  for (let round = 0; round < 5; round += 1) {
    t.same(await call(`r${round}`), ["half", false]);
  }
  isReset = false;
  t.same(await call("whole"), ["half and half", true]);
  await fleet.close();
});
