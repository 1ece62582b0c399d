import t from "tap";
import { createDocument } from "../../routes/test/createDocument";
import { sendRaw } from "../../wire/test/helpers/sendRaw";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

interface Place {
  readonly path?: string;
  readonly query?: string;
  readonly name?: string;
  readonly value?: string;
  readonly id?: string;
  readonly method?: string;
}

/** Sends a request over a connection of its own; resolves with its status. */
async function callRaw(port: number, place: Place): Promise<string> {
  const { path = "", query = "", name = "x-a", value = "1", id = "r", method = "GET" } = place;
  const head = `host: app.test\r\nx-key: key-a\r\nx-id: ${id}\r\n${name}: ${value}\r\nconnection: close`;
  const text = await sendRaw(port, `${method} /p0/${path}?${query} HTTP/1.1\r\n${head}\r\n\r\n`);
  return text.split(" ")[1] ?? "closed";
}

// Guards against one request of a client that ends the gateway, as Node's parser accepts bytes that its client refuses.
t.test("requests with bytes that cannot be passed on get 400, the others are served", async (t) => {
  const target = new TestTarget(({ head }, socket) => {
    const id = head.split("\r\n").find((line) => line.startsWith("x-id: ")) ?? "";
    socket.write(responses.whole(id.slice(6), "ok"), "latin1");
  });
  const { gateway, call, callerPort, stop } = await startGateway(createDocument(1), [target]);
  const bytes = Array.from({ length: 256 }, (_, code) => String.fromCharCode(code));
  for (const byte of bytes) {
    const odd = `a${byte}b`;
    for (const place of [
      { path: odd },
      { query: odd },
      { name: odd },
      { value: odd },
      { id: odd },
      { method: odd },
    ]) {
      const status = await callRaw(callerPort, place);
      t.ok(["200", "400", "404", "closed"].includes(status), `${JSON.stringify(place)}: ${status}`);
    }
  }
  for (const place of [{ path: "a\tb" }, { query: "a\fb" }, { name: "x y" }]) {
    t.equal(await callRaw(callerPort, place), "400", JSON.stringify(place));
  }
  t.match(gateway.renderMetrics(), /clementinemux_gateway_ends\{end="bad_request"\} [1-9]/);
  t.equal((await call({ path: "/p0/" }, "r1")).status, 200);
  await stop();
});
