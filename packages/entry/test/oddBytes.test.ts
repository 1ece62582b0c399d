import type { Socket } from "node:net";
import t from "tap";
import { request as requestHttp } from "undici";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import { sendRaw } from "../../wire/test/helpers/sendRaw";
import { startFleet } from "./startFleet";

const { defaults } = createDefaultConfig();
const services = { orders: { repeatable: false, timeoutMs: 2000, keyRequired: false } };
const whole = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

async function callRaw(url: string, path: string, headers = ""): Promise<string> {
  const { hostname, port } = new URL(url);
  const bytes = `GET ${path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n${headers}\r\n`;
  return (await sendRaw(Number(port), bytes, hostname)).split(" ")[1] ?? "closed";
}

const odd: Readonly<Record<string, string>> = {
  "status 000": whole.replace("200", "000"),
  "status 099": whole.replace("200", "099"),
  "status 101": whole.replace("200", "101"),
  "status 600": whole.replace("200", "600"),
  "status 999": whole.replace("200", "999"),
  "a space in a header's name": whole.replace("content", "x a: 1\r\ncontent"),
  "a control byte in the type": whole.replace("content", "content-type: a\u0001b\r\ncontent"),
  "U+2019 in the type": whole.replace("content", "content-type: a\u2019b\r\ncontent"),
  "two types": whole.replace("content", "content-type: a\r\ncontent-type: b\r\ncontent"),
};

// Guards against one answer of an agent that ends the entry, or whose request gets no answer at all.
for (const [name, answer] of Object.entries(odd)) {
  t.test(`an answer with ${name} costs its own request at most`, async (t) => {
    const fleet = await startFleet({ serviceCount: 1, defaults: { ...defaults, services } });
    const url = `${fleet.urls[0] ?? ""}/services/orders/place`;
    fleet.services[0]!.answerRaw = (socket) => socket.end(answer);
    const reply = await requestHttp(url, { method: "POST", body: "odd" });
    await reply.body.text();
    t.ok([200, 502].includes(reply.statusCode), `${reply.statusCode}`);
    t.equal(fleet.services[0]!.executions.get("odd"), 1, "not run twice");
    const next = await requestHttp(url, { method: "POST", body: "next" });
    t.equal(next.statusCode, 200);
    await next.body.text();
    await fleet.stop();
  });
}

// Guards against a path that counts as a failed connection of each target, where the caller is at fault.
t.test("a request that cannot be passed on gets 400", async (t) => {
  const fleet = await startFleet({ serviceCount: 1, defaults: { ...defaults, services } });
  const url = fleet.urls[0] ?? "";
  for (const path of ["/services/orders/a\tb", "/services/orders/a\fb", "/v1/models?\t"]) {
    t.equal(await callRaw(url, path), "400", JSON.stringify(path));
  }
  t.equal(await callRaw(url, "/services/orders/a", "x y: 1\r\n"), "400");
  t.equal(fleet.services[0]!.executions.size, 0);
  t.equal(await callRaw(url, "/services/orders/a"), "200");
  await fleet.stop();
});

// Guards against an answer that was cut by a reset or an early end and looks complete.
const cuts: Readonly<Record<string, { readonly head: string }>> = {
  "without a length": { head: "HTTP/1.1 200 OK\r\n\r\nhalf" },
  "in chunks": { head: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n" },
  "in chunks, on a connection to be closed": {
    head: "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
  },
  "with a length": { head: "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 9\r\n\r\nhalf" },
};
const ends: Readonly<Record<string, (socket: Socket) => void>> = {
  "an end": (socket) => socket.end(),
  "a reset": (socket) => socket.resetAndDestroy(),
};
for (const [name, { head }] of Object.entries(cuts)) {
  for (const [ending, end] of Object.entries(ends)) {
    t.test(`an answer ${name} that is cut by ${ending} does not look complete`, async (t) => {
      const fleet = await startFleet({ serviceCount: 1, defaults: { ...defaults, services } });
      const url = `${fleet.urls[0] ?? ""}/services/orders/place`;
      fleet.services[0]!.answerRaw = (socket) => {
        socket.write(head);
        setTimeout(end, 30, socket);
      };
      const outcome = await requestHttp(url, { method: "POST", body: "cut" })
        .then(async ({ statusCode, body }) => {
          await body.text();
          return statusCode;
        })
        .catch(() => 0);
      t.ok(outcome === 0 || outcome === 502, `${outcome}`);
      await fleet.stop();
    });
  }
}
