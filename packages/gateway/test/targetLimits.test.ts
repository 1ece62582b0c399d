import { request } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { encode } from "cbor-x";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { createRandom } from "@clementinemux/common/createRandom";
import { WaitingLineMode } from "@clementinemux/gateway/WaitingLineMode";
import { Gateway } from "@clementinemux/gateway/Gateway";
import { createLogger } from "@clementinemux/logging/createLogger";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { CoordinatorFleet } from "../../control/test/CoordinatorFleet";
import { findMaxWindow } from "../../control/test/findMaxWindow";
import { createDocument } from "../../routes/test/createDocument";
import { TestCodec } from "./TestCodec";
import { TestTarget } from "./TestTarget";

t.setTimeout(90_000);

const limitPerS = 2;
const contactMs = 3000;
const windowMs = 4000;
const maxArrivals = 1.5 * limitPerS * 4 + 5;
const gatewayCount = 4;
const requestGapMs = 25;

interface CallerResponse {
  readonly status: number;
  readonly retryAfter: string | null;
}

interface LimitedTarget {
  readonly target: TestTarget;
  readonly arrivals: number[];
  isLimited: boolean;
}

function createTarget(isLimited: boolean): LimitedTarget {
  const arrivals: number[] = [];
  const limited: LimitedTarget = {
    isLimited,
    arrivals,
    target: new TestTarget(({ id }, socket) => {
      arrivals.push(performance.now());
      const header = limited.isLimited ? `x-limit: ${limitPerS}\r\n` : "";
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n${header}content-length: 2\r\n\r\nok`);
    }),
  };
  return limited;
}

/** Starts three coordinators and several gateways that share the given targets. */
async function startGateways(targets: readonly LimitedTarget[]) {
  await Promise.all(targets.map(({ target }) => target.listen()));
  const fleet = await CoordinatorFleet.start(3);
  await waitUntil("a leader", () => (fleet.leader >= 0 ? true : null));
  const document = createDocument(1);
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
    for (const [index, { target }] of targets.entries()) {
      const place = { service: "app", address: target.address, failureDomain: "a", slots: 4 };
      const state = { isDraining: false, isLeaving: false, isGone: false, bornMs: 1, sequence: Date.now() };
      void fleet.coordinators[0]?.registerTarget({ id: `t-${index}`, ...place, ...state });
    }
  };
  register();
  const heartbeats = setInterval(register, 500);
  const ports = await findFreePorts(2 * gatewayCount);
  const gateways = await Promise.all(
    Array.from({ length: gatewayCount }, async (_, index) => {
      const gateway = new Gateway({
        name: `g-${index}`,
        host: "127.0.0.1",
        callerPort: ports[index * 2] ?? 0,
        readyPort: ports[index * 2 + 1] ?? 0,
        readyPath: "/ready",
        failureDomain: "a",
        seeds: [...fleet.seeds.slice(index % 3), ...fleet.seeds],
        repeatRatio: 0.2,
        repeatSlack: 100,
        repeatWindowMs: 10_000,
        graceMs: 4000,
        metricsPort: null,
        maxHoldMs: 80,
        minStallTimeoutMs: 400,
        maxHeldBytes: 8_388_608,
        maxInFlight: 100,
        waitingLine: WaitingLineMode.Auto,
        codec: new TestCodec(),
        clock: new SystemClock(),
        leaseClock: new SystemClock(),
        random: createRandom(index),
        logger: createLogger("test", {}),
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
  return { fleet, call, stop };
}

type Call = Awaited<ReturnType<typeof startGateways>>["call"];

/** Sends requests through all gateways in turn for a time, and returns the responses. */
async function sendFor(call: Call, durationMs: number) {
  const startedAtMs = performance.now();
  const responses: ReturnType<Call>[] = [];
  for (let sent = 0; performance.now() - startedAtMs < durationMs; sent += 1) {
    responses.push(call(sent, `r-${Math.round(startedAtMs)}-${sent}`));
    await delay(requestGapMs);
  }
  return Promise.all(responses);
}

/** Arrivals from `contactMs` after the first. */
function skipContact({ arrivals }: LimitedTarget): number[] {
  const [first = 0] = arrivals;
  return arrivals.filter((atMs) => atMs >= first + contactMs);
}

t.test("all gateways together keep to the limit that a target has named", async (t) => {
  const targets = [createTarget(true), createTarget(false)];
  const [limited = createTarget(true)] = targets;
  const { call, stop } = await startGateways(targets);
  const responses = await sendFor(call, 9000);
  t.ok(responses.every(({ status }) => status === 200));
  const most = findMaxWindow(skipContact(limited), windowMs);
  t.ok(most <= maxArrivals, `${most} requests in 4 s, allowed ${maxArrivals}`);
  limited.isLimited = false;
  await sendFor(call, 2500);
  limited.arrivals.splice(0);
  await sendFor(call, 2000);
  t.ok(limited.arrivals.length > 20, `${limited.arrivals.length} requests after the limit has ended`);
  await stop();
});

t.test(
  "with all targets limited, the rest is rejected at once with a Retry-After, through an election",
  async (t) => {
    const targets = [createTarget(true), createTarget(true)];
    const { fleet, call, stop } = await startGateways(targets);
    await sendFor(call, contactMs);
    const [served, rejected] = await sendFor(call, 6000).then((responses) => [
      responses.filter(({ status }) => status === 200),
      responses.filter(({ status }) => status === 503),
    ]);
    const expected = 2 * limitPerS * 6;
    t.ok((served ?? []).length >= 0.8 * expected, `${served?.length} of ${expected} served`);
    t.ok((rejected ?? []).length > 50);
    t.ok((rejected ?? []).every(({ retryAfter }) => Number(retryAfter) > 0));
    await fleet.stop(fleet.leader);
    await sendFor(call, 6000);
    for (const target of targets) {
      const most = findMaxWindow(skipContact(target), windowMs);
      t.ok(most <= maxArrivals, `${most} requests in 4 s, allowed ${maxArrivals}`);
    }
    await stop();
  },
);
