import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { encode } from "cbor-x";
import t from "tap";
import type { Test } from "tap";
import { FleetView } from "@clementinemux/gateway/FleetView";
import type { SyncResponse } from "@clementinemux/registry/SyncResponse";
import type { Route } from "@clementinemux/routes/Route";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { createSyncResponse } from "@clementinemux/standins/gateway/createSyncResponse";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { createDocument } from "../../routes/test/createDocument";
import { TestCodec } from "./TestCodec";
import { TestTarget } from "./TestTarget";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

const limitMs = 5000;
const slots = 4;
/** Requests wait up to eight seconds for a slot. */
const patient = { objectiveMs: 20_000, timeoutMs: 30_000 };
/** Well below the time for which requests wait. */
const promptMs = 4000;
/** Waiting requests look for a slot several times. */
const pollMs = 150;
const stream = { kind: RouteKind.Streaming, canResume: true, attempts: 2, ...patient };

interface Held {
  readonly id: string;
  readonly socket: Socket;
}

/** Target that answers only when the test says so. */
class HoldingTarget {
  readonly held: Held[] = [];
  readonly target = new TestTarget(({ id }, socket) => this.held.push({ id, socket }));

  get received(): number {
    return this.target.requests.length;
  }

  answerAll(create: (id: string) => string = (id) => responses.whole(id, "ok")): void {
    for (const { id, socket } of this.held.splice(0)) {
      socket.write(create(id));
    }
  }
}

/** Starts a gateway with a target in each of the failure domains. */
async function start(t: Test, route: Partial<Route>, failureDomains: readonly string[]) {
  const targets = failureDomains.map(() => new HoldingTarget());
  const scripted = targets.map(({ target }) => target);
  const started = await startGateway(createDocument(1, [route]), scripted);
  t.teardown(() => started.stop());
  const { gateway, state } = started;
  state.failureDomains.push(...failureDomains);
  const evacuate = async (...names: readonly string[]): Promise<void> => {
    state.evacuated = { revision: state.evacuated.revision + 1, failureDomains: names };
    const { revision } = state.evacuated;
    await waitUntil("it is in force", () => isTrue(gateway.view.evacuated.revision === revision), limitMs);
  };
  const listed = (): string => gateway.view.state.targets.map((target) => target.failureDomain).join();
  // The list is sent again with the next document.
  state.document = { ...state.document, version: 2 };
  await waitUntil("the places are known", () => isTrue(listed() === failureDomains.join()), limitMs);
  const send = (id: string) => started.call({ path: "/p0/" }, id);
  const expectReceived = (count: number) =>
    waitUntil(
      `${count} requests arrive`,
      () => isTrue(targets.reduce((sum, { received }) => sum + received, 0) === count),
      limitMs,
    );
  return { ...started, targets, evacuate, send, expectReceived };
}

function isTrue(condition: boolean): true | null {
  return condition ? true : null;
}

// Guards against an evacuation that is taken back by a coordinator that lags, or by one of an earlier release.
t.test("the highest revision counts", (t) => {
  const view = new FleetView(new TestCodec());
  const place = { service: "app", addresses: ["h:1", "h:2"], slots: 1, documentVersion: 1, ageMs: 0 };
  const listed = createSyncResponse({ ...place, document: encode(createDocument(1)) });
  const update = (response: Partial<SyncResponse>): string[] => {
    view.update({ ...listed, document: null, ...response }, 0);
    return view.listOpenTargets("app").map(({ id }) => id);
  };
  const targets = (listed.targets ?? []).map((target, index) => ({
    ...target,
    failureDomain: `d-${index}`,
  }));
  view.update({ ...listed, targets }, 0);
  t.same(update({ targets, evacuated: { revision: 2, failureDomains: ["d-0"] } }), ["t-1"]);
  t.same(update({ targets, evacuated: { revision: 1, failureDomains: [] } }), ["t-1"], "one that lags");
  t.same(update({ targets }), ["t-1"], "one of an earlier release");
  t.equal(view.isEvacuated("app"), false);
  const both = { revision: 3, failureDomains: ["d-0", "d-1"] };
  t.same(update({ targets: null, ageMs: null, evacuated: both }), [], "one that is not confirmed");
  t.equal(view.isEvacuated("app"), true);
  t.equal(view.isEvacuated("other"), false);
  t.same(update({ targets: [], evacuated: both }), []);
  t.equal(view.isEvacuated("app"), false, "no target is left that could be evacuated");
  t.same(update({ targets, evacuated: { revision: 4, failureDomains: [] } }), ["t-0", "t-1"]);
  t.end();
});

// Guards against requests to an evacuated failure domain, and against responses that are cut off there.
t.test("new requests go elsewhere, running ones are finished, until the evacuation ends", async (t) => {
  // The gateway prefers targets of its own failure domain, "a".
  const { targets, evacuate, send, expectReceived, gateway } = await start(t, patient, ["a", "b"]);
  const [near, far] = targets as [HoldingTarget, HoldingTarget];
  const running = Array.from({ length: 2 * slots }, (_, at) => send(`r-${at}`));
  await expectReceived(2 * slots);
  t.equal(near.received, slots);
  await evacuate("a");
  t.match(gateway.renderMetrics(), /clementinemux_gateway_evacuated_failure_domains 1\n/);
  const waiting = send("w");
  near.answerAll();
  await delay(pollMs);
  await expectReceived(2 * slots);
  far.answerAll();
  t.ok((await Promise.all(running)).every(({ status }) => status === 200));
  await expectReceived(2 * slots + 1);
  far.answerAll();
  t.equal((await waiting).status, 200, "a request that waited for a slot");
  t.equal(near.received, slots);
  await evacuate();
  const again = Array.from({ length: 2 * slots }, (_, at) => send(`s-${at}`));
  await expectReceived(4 * slots + 1);
  t.equal(near.received, 2 * slots);
  targets.forEach((target) => {
    target.answerAll();
  });
  await Promise.all(again);
});

// Guards against retried requests and resumed streams that go to an evacuated failure domain.
t.test("a stream that breaks is resumed elsewhere", async (t) => {
  const { targets, evacuate, send, expectReceived } = await start(t, stream, ["a", "a", "b"]);
  const [, , far] = targets as [HoldingTarget, HoldingTarget, HoldingTarget];
  await evacuate("b");
  const begun = send("s");
  await expectReceived(1);
  const source = targets.find(({ received }) => received > 0);
  const socket = source?.held[0]?.socket;
  socket?.write(responses.streamHead("s") + responses.chunk(responses.event(1)));
  await evacuate("a");
  socket?.resetAndDestroy();
  await expectReceived(2);
  t.equal(far.received, 1);
  far.answerAll((id) => responses.streamHead(id) + responses.chunk(responses.event(2)) + responses.streamEnd);
  t.match(await begun, { status: 200, body: responses.event(1) + responses.event(2), isComplete: true });
});

// Guards against requests that are held until their deadline, or sent all the same, when no target is left.
t.test("requests are rejected at once when all targets are evacuated", async (t) => {
  const { targets, evacuate, send, expectReceived, gateway } = await start(t, patient, ["a", "b"]);
  const running = Array.from({ length: 2 * slots }, (_, at) => send(`r-${at}`));
  await expectReceived(2 * slots);
  const waiting = send("w");
  await waitUntil("the request waits", () => isTrue(gateway.inFlight === 2 * slots + 1), limitMs);
  await evacuate("a", "b");
  const evacuatedAtMs = performance.now();
  for (const rejected of [await waiting, await send("n")]) {
    t.match(rejected, { status: 503, body: /evacuated/ });
    t.ok(Number(rejected.headers["retry-after"]) >= 1);
  }
  t.ok(performance.now() - evacuatedAtMs < promptMs);
  const [near, far] = targets as [HoldingTarget, HoldingTarget];
  near.answerAll(responses.notRun);
  far.answerAll();
  const ended = await Promise.all(running);
  t.equal(ended.filter(({ status }) => status === 200).length, slots, "running requests are finished");
  const retried = ended.filter(({ status, body }) => status === 503 && body.includes("evacuated"));
  t.equal(retried.length, slots, "requests that would have been retried");
  await expectReceived(2 * slots);
  t.match(gateway.renderMetrics(), `clementinemux_gateway_ends{end="evacuated"} ${slots + 2}\n`);
});

// Guards against a permit that was granted before the evacuation and is used after it.
t.test("a permit that was granted before is not used", async (t) => {
  const { targets, state, evacuate, send, expectReceived } = await start(t, patient, ["a"]);
  const [target] = targets as [HoldingTarget];
  let granted = 0;
  state.takePermits = ({ asks }) => {
    granted += asks.length;
    return { answers: asks.map(() => ({ target: "t-0", startInMs: 900, freeInMs: { "t-0": 900 } })) };
  };
  const first = send("r-1");
  await expectReceived(1);
  target.answerAll((id) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-limit: 2\r\ncontent-length: 2\r\n\r\nok`);
  t.equal((await first).status, 200);
  const limited = send("r-2");
  await waitUntil("a permit is granted", () => isTrue(granted > 0), limitMs);
  await evacuate("a");
  t.match(await limited, { status: 503, body: /evacuated/ });
  t.equal(target.received, 1);
});
