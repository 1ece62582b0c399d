import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import type { WireCodec } from "@clementinemux/gateway/WireCodec";
import type { CrashFindings } from "@clementinemux/crashes/CrashFindings";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { createDocument } from "../../routes/test/createDocument";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

const document = createDocument(1, [{ kind: RouteKind.NonIdempotent, attempts: 3 }]);
const post = { path: "/p0/", method: "POST" };
/** What the caller gets by the method that throws; 0 for a closed connection. */
const statuses: readonly (readonly [keyof WireCodec, number])[] = [
  ["readRequest", 0],
  ["createTargetHeaders", 503],
  ["readResponse", 502],
];

// Guards against an exception in the handler of one request that ends the process, or that is neither logged nor counted.
for (const [method, status] of statuses) {
  t.test(`an exception in ${method} ends one request only`, async (t) => {
    const target = new TestTarget(({ id }, socket) => {
      setTimeout(() => socket.write(responses.whole(id, "ok")), 100);
    });
    const { gateway, codec, call, stop } = await startGateway(document, [target]);
    codec.throwIf = (called, headers) => {
      if (called === method && headers.includes("odd")) {
        throw new TypeError("unexpected value");
      }
    };
    const others = [1, 2, 3].map((other) => call(post, `r${other}`, "x"));
    // As many as the target has slots, which are free again afterwards.
    for (let request = 0; request < 4; request += 1) {
      const odd = await call(post, "odd", "x").catch(() => null);
      t.equal(odd?.status ?? 0, status);
    }
    others.push(call(post, "r4", "x"));
    for (const { status } of await Promise.all(others)) {
      t.equal(status, 200);
    }
    t.match(gateway.renderMetrics(), 'clementinemux_gateway_handler_errors{handler="request"} 4\n');
    t.match(gateway.renderMetrics(), "clementinemux_gateway_requests_in_flight 0\n");
    t.match(gateway.renderMetrics(), "clementinemux_gateway_held_bytes 0\n");
    await stop();
  });
}

// Guards against one report of a coordinator that ends the gateway.
t.test("a coordinator's response that cannot be used is counted, and requests are served on", async (t) => {
  const target = new TestTarget(({ id }, socket) => socket.write(responses.whole(id, "ok")));
  const { gateway, state, call, stop } = await startGateway(document, [target]);
  state.findings = { suspicions: [], watched: 5 } as unknown as CrashFindings;
  await waitUntil(
    "the error is counted",
    () => (/handler_errors\{handler="sync"\} [1-9]/.test(gateway.renderMetrics()) ? true : null),
    2000,
  );
  t.equal((await call(post, "r1", "x")).status, 200);
  state.findings = null;
  await delay(500);
  t.equal((await call(post, "r2", "x")).status, 200);
  await stop();
});
