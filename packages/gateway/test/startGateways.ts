import { request } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { encode } from "cbor-x";
import { createRandom } from "@clementinemux/common/createRandom";
import { Gateway } from "@clementinemux/gateway/Gateway";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { CoordinatorFleet } from "../../control/test/CoordinatorFleet";
import { createDocument } from "../../routes/test/createDocument";
import { TestCodec } from "./TestCodec";
import { gatewayDefaults } from "./gatewayDefaults";
import type { TestTarget } from "./TestTarget";

const gatewayCount = 4;

interface CallerResponse {
  readonly status: number;
  readonly retryAfter: string | null;
}

interface FleetTarget {
  readonly target: TestTarget;
  /** Time for which the target stays cold, as its heartbeats state; missing if they do not. */
  readonly getColdLeftMs?: () => number;
}

/** Starts three coordinators and several gateways that share the given targets, each with four slots. */
export async function startGateways(targets: readonly FleetTarget[], document = createDocument(1)) {
  await Promise.all(targets.map(({ target }) => target.listen()));
  const fleet = await CoordinatorFleet.start(3);
  await waitUntil("a leader", () => (fleet.leader >= 0 ? true : null));
  await waitUntil("the document is stored", async () => {
    const submitted = fleet.coordinators[0]?.submitDocument({ version: 1, bytes: encode(document) });
    return (await submitted?.then(
      () => true,
      () => null,
    )) === true
      ? true
      : null;
  });
  const register = (): void => {
    for (const [index, { target, getColdLeftMs }] of targets.entries()) {
      const place = { service: "app", address: target.address, failureDomain: "a", slots: 4 };
      const state = { isDraining: false, isLeaving: false, isGone: false, bornMs: 1, sequence: Date.now() };
      const cold = getColdLeftMs === undefined ? {} : { coldLeftMs: getColdLeftMs() };
      for (const coordinator of fleet.coordinators) {
        void coordinator.registerTarget({ id: `t-${index}`, ...place, ...state, ...cold });
      }
    }
  };
  register();
  const heartbeats = setInterval(register, 500);
  const ports = await findFreePorts(2 * gatewayCount);
  const gateways = await Promise.all(
    Array.from({ length: gatewayCount }, async (_, index) => {
      const gateway = new Gateway({
        ...gatewayDefaults,
        name: `g-${index}`,
        callerPort: ports[index * 2] ?? 0,
        readyPort: ports[index * 2 + 1] ?? 0,
        seeds: [...fleet.seeds.slice(index % 3), ...fleet.seeds],
        codec: new TestCodec(),
        random: createRandom(index),
      });
      await gateway.start();
      return gateway;
    }),
  );
  await waitUntil("the gateways know the targets", () =>
    gateways.every(({ isReady, view }) => isReady && view.state.targets.length === targets.length)
      ? true
      : null,
  );
  const call = (index: number, id: string): Promise<CallerResponse> =>
    new Promise((resolve, reject) => {
      const port = ports[(index % gatewayCount) * 2];
      const headers = { host: "app.test", "x-id": id, "x-key": "key-a" };
      const sent = request({ host: "127.0.0.1", port, path: "/p0/", agent: false, headers });
      sent.on("error", reject);
      sent.on("response", (response) => {
        response.resume().on("close", () => {
          const { statusCode = 0, headers } = response;
          resolve({ status: statusCode, retryAfter: headers["retry-after"] ?? null });
        });
      });
      sent.end();
    });
  const stop = async (): Promise<void> => {
    clearInterval(heartbeats);
    gateways.forEach((gateway) => {
      gateway.close();
    });
    targets.forEach(({ target }) => {
      target.close();
    });
    await fleet.close();
  };
  /** Sends requests through all gateways in turn for a time, and returns the responses. */
  const sendFor = async (durationMs: number, requestGapMs: number): Promise<CallerResponse[]> => {
    const startedAtMs = performance.now();
    const sent: Promise<CallerResponse>[] = [];
    while (performance.now() - startedAtMs < durationMs) {
      sent.push(call(sent.length, `r-${Math.round(startedAtMs)}-${sent.length}`));
      await delay(requestGapMs);
    }
    return Promise.all(sent);
  };
  return { fleet, gateways, register, sendFor, stop };
}
