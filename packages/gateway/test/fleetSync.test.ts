import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { GatewayHandler } from "@clementinemux/gateway/GatewayHandler";
import { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import { FleetSync } from "@clementinemux/gateway/FleetSync";
import { FleetView } from "@clementinemux/gateway/FleetView";
import { LimitTable } from "@clementinemux/registry/LimitTable";
import { createLogger } from "@clementinemux/logging/createLogger";
import { TestCodec } from "./TestCodec";

// Guards against a gateway that rejects requests for up to 200 ms after its coordinator has come back.
t.test("a gateway without state retries a starting coordinator often", async (t) => {
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    socket.destroy();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const entry = {
    name: "g",
    incarnation: "1",
    address: "g:1",
    failureDomain: "d",
    isReady: false,
    inFlight: {},
  };
  const errors = new ErrorBoundary({
    name: "errors",
    handlers: Object.values(GatewayHandler),
    logger: createLogger("test", {}),
  });
  const sync = new FleetSync({
    errors,
    view: new FleetView(new TestCodec()),
    getEntry: () => entry,
    listLeaving: () => [],
    getCrashEvidence: () => ({ reports: [], answered: [], suspicions: [] }),
    onCrashFindings: () => undefined,
    limits: new LimitTable(),
    onLimit: () => undefined,
    onApplied: () => undefined,
    seeds: [`127.0.0.1:${port}`],
    clock: new SystemClock(),
    logger: createLogger("test", {}),
  });
  sync.start();
  await delay(1000);
  t.ok(connections >= 10 && connections <= 40, `${connections} connections in a second`);
  sync.close();
  server.close();
  await delay(300);
  const closedAt = connections;
  await delay(300);
  t.equal(connections, closedAt, "guards against reports after close");
});
