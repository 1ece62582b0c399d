import { encode } from "cbor-x";
import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { createRandom } from "@clementinemux/common/createRandom";
import { FleetView } from "@clementinemux/gateway/FleetView";
import { GatewayMetrics } from "@clementinemux/gateway/GatewayMetrics";
import type { RoutedRequest } from "@clementinemux/gateway/RoutedRequest";
import { TargetChoiceKind } from "@clementinemux/gateway/TargetChoiceKind";
import { TargetLoads } from "@clementinemux/gateway/TargetLoads";
import { WorkEstimates } from "@clementinemux/gateway/WorkEstimates";
import { createTargetEstimate } from "@clementinemux/gateway/createTargetEstimate";
import { chooseByFinish } from "@clementinemux/gateway/chooseByFinish";
import type { SyncResponse } from "@clementinemux/registry/SyncResponse";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import type { RouteDocument } from "@clementinemux/routes/RouteDocument";
import { createSyncResponse } from "@clementinemux/standins/gateway/createSyncResponse";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { createDocument } from "../../routes/test/createDocument";
import { TestCodec } from "./TestCodec";
import { TestTarget } from "./TestTarget";
import { rankService } from "./rankService";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

const stream = { kind: RouteKind.Streaming, timeoutMs: 5000, gapObjectiveMs: 1000 };
const mixed = [
  { ...stream, priority: 0 },
  { ...stream, priority: 2 },
];

function createRankDocument(routes: Parameters<typeof createDocument>[1]): RouteDocument {
  return { ...createDocument(1, routes), services: [rankService] };
}

function createTargets(count: number): TestTarget[] {
  const answer = responses.chunk(responses.event(1)) + responses.streamEnd;
  const script = ({ id }: { id: string }, socket: { write: (text: string) => void }): void => {
    socket.write(responses.streamHead(id) + answer);
  };
  return Array.from({ length: count }, () => new TestTarget(script));
}

/** Estimates of a gateway that knows three targets, and of other gateways what `others` says. */
function createEstimates(others: Partial<SyncResponse>, targetChoice = TargetChoiceKind.Auto): WorkEstimates {
  const view = new FleetView(new TestCodec());
  const document = encode(createRankDocument(mixed));
  const listed = { service: "app", addresses: ["a:1", "a:2", "a:3"], slots: 8, documentVersion: 1 };
  view.update({ ...createSyncResponse({ ...listed, document, ageMs: 0 }), ...others }, 0);
  const loads = new TargetLoads(() => view.state);
  const metrics = new GatewayMetrics();
  return new WorkEstimates({ options: { targetChoice, clock: new SystemClock() }, view, loads, metrics });
}

// Guards against work that is used where the document does not ask for it, and against a setting without effect.
t.test("work is in force where the routes to a service differ, or as the setting says", (t) => {
  t.equal(createEstimates({}).isInForce("app"), true);
  t.equal(createEstimates({}).isInForce("other"), false);
  t.equal(createEstimates({}, TargetChoiceKind.FreeSlots).isInForce("app"), false);
  t.equal(createEstimates({}, TargetChoiceKind.ExpectedWork).isInForce("other"), true);
  t.same(createEstimates({}, TargetChoiceKind.FreeSlots).createReport(), { inFlight: {} });
  t.end();
});

t.test("the work of others is as reported, else the mean for each request", (t) => {
  const inFlight = { "t-0": 2, "t-1": 1 };
  const reported = createEstimates({ inFlight, remainingCs: [70, 3] });
  t.same(reported.getLoad("t-0", rankService), { requests: 2, leftMs: 700, prefillMs: 0 });
  t.same(reported.getLoad("t-2", rankService), { requests: 0, leftMs: 0, prefillMs: 0 });
  const earlier = createEstimates({ inFlight });
  const { leftMs } = earlier.getLoad("t-1", rankService);
  t.ok(leftMs > 20 && leftMs < 1000, `${leftMs} ms for one request`);
  t.equal(earlier.getLoad("t-0", rankService).leftMs, 2 * leftMs);
  const cut = createEstimates({ inFlight, remainingCs: [70] });
  t.equal(cut.getLoad("t-1", rankService).leftMs, leftMs, "a report that does not fit counts as none");
  t.end();
});

t.test("a full target is never chosen, and one without memory only if there is no other", (t) => {
  const candidate = { slots: 8, load: 3, weight: 1, isNear: false, finishMs: 100, hasMemory: true };
  const choose = (...changes: readonly object[]): Set<string | null> => {
    const random = createRandom(5);
    const candidates = changes.map((change, index) => ({ ...candidate, id: `t-${index}`, ...change }));
    return new Set(Array.from({ length: 300 }, () => chooseByFinish(candidates, (target) => target, random)));
  };
  t.same(choose({ load: 8, finishMs: 1 }, {}), new Set(["t-1"]));
  t.same(choose({ hasMemory: false, finishMs: 1 }, {}), new Set(["t-1"]));
  t.same(choose({ load: 8 }, { hasMemory: false }), new Set(["t-1"]));
  t.same(choose({ load: 8 }, { load: 9 }), new Set([null]));
  t.same(choose(), new Set([null]));
  t.equal(choose({}, {}, {}).size, 3, "equal targets all get requests");
  t.end();
});

// Guards against engines that drop their newest request, because requests of other gateways fill their memory.
t.test("a target has memory only beside what others hold there", (t) => {
  const work = createEstimates({ inFlight: { "t-0": 2, "t-1": 1 }, remainingCs: [1, 1] });
  const service = { ...rankService, engine: { ...rankService.engine!, kvCapacityTokens: 2500 } };
  const caller = { promptTokens: 700, hintTokens: 100, maxAnswerTokens: 100 };
  const request = { route: { name: "r" }, service, caller } as unknown as RoutedRequest;
  const estimate = createTargetEstimate(work, request);
  t.same(
    ["t-0", "t-1", "t-2"].map((id) => estimate({ id }).hasMemory),
    [false, true, true],
  );
  t.end();
});

// Guards against gateways that send to a target which others have filled with long requests.
t.test("a gateway sends less to targets with much remaining work", async (t) => {
  const targets = createTargets(3);
  const gateway = await startGateway(createRankDocument(mixed), targets);
  t.teardown(gateway.stop);
  gateway.state.others = { inFlight: { "t-0": 2, "t-1": 2, "t-2": 2 }, remainingCs: [900, 1, 1] };
  await waitUntil("the reports have arrived", () =>
    gateway.gateway.view.state.othersRemainingMs === null ? null : true,
  );
  for (let index = 0; index < 60; index += 1) {
    const { status } = await gateway.call({ path: "/p0/", headers: { "x-hint": "200" } }, `r-${index}`);
    t.equal(status, 200);
  }
  const [busy = Infinity, ...others] = targets.map(({ requests }) => requests.length);
  t.ok(busy < 14, `${busy} of 60 to the busy target, ${others.join(" and ")} to the others`);
  t.match(gateway.gateway.renderMetrics(), 'clementinemux_gateway_remaining_work_seconds{target="t-0"} 9\n');
  t.match(gateway.gateway.renderMetrics(), "clementinemux_gateway_actual_work_seconds_count 60\n");
});

t.test("a gateway reports work that falls with each event, only where it is in force", async (t) => {
  for (const routes of [mixed, mixed.slice(0, 1)]) {
    const sockets: { write: (text: string) => void }[] = [];
    const target = new TestTarget(({ id }, socket) => {
      sockets.push(socket);
      socket.write(responses.streamHead(id));
    });
    const { call, state, gateway, stop } = await startGateway(createRankDocument(routes), [target]);
    t.teardown(stop);
    const done = call({ path: "/p0/", headers: { "x-hint": "100", "x-prompt": "900" } }, "r");
    const [socket] = await waitUntil("the target has the request", () =>
      sockets.length > 0 ? sockets : null,
    );
    await waitUntil("the request is reported", () => (state.entry?.inFlight["t-0"] === 1 ? true : null));
    const reports = [state.entry?.remainingCs];
    for (let event = 1; event <= 10; event += 1) {
      socket?.write(responses.chunk(responses.event(event)));
    }
    if (routes === mixed) {
      const firstCs = reports[0]?.[0] ?? 0;
      await waitUntil("the report falls", () =>
        (state.entry?.remainingCs?.[0] ?? Infinity) < firstCs ? true : null,
      );
    }
    socket?.write(responses.streamEnd);
    t.ok((await done).isComplete);
    await waitUntil("the end is reported", () => (state.entry?.inFlight["t-0"] === undefined ? true : null));
    t.same(state.entry?.remainingCs, routes === mixed ? [] : undefined);
    t.equal(gateway.renderMetrics().includes("remaining_work_seconds{"), routes === mixed);
    t.equal(reports[0] === undefined, routes !== mixed);
  }
});
