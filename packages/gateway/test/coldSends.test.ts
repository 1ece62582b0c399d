import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import type { PermitRequest } from "@clementinemux/registry/PermitRequest";
import type { PermitResponse } from "@clementinemux/registry/PermitResponse";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import type { Route } from "@clementinemux/routes/Route";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { TestTarget } from "./TestTarget";
import { createColdDocument } from "./createColdDocument";
import { rankService } from "./rankService";
import { responses } from "./responses";
import { startGateway } from "./startGateway";

const coldMs = 20_000;
const { whole, notRun, streamHead, chunk, event, streamEnd } = responses;

type Answer = ConstructorParameters<typeof TestTarget>[0];

const answerOk: Answer = ({ id }, socket) => {
  socket.write(whole(id, "ok"));
};

/** Starts a gateway with a warm target, and a cold one that answers everything. No coordinator leads. */
async function startWithCold(answerWarm: Answer, route: Partial<Route> = {}, answerCold = answerOk) {
  const [warm, cold] = [new TestTarget(answerWarm), new TestTarget(answerCold)];
  const started = await startGateway(createColdDocument(14, [route]), [warm, cold]);
  started.state.cold = [{ id: "t-1", bornMs: 1, sequence: 2, leftMs: coldMs }];
  await waitUntil("the gateway knows", () =>
    started.gateway.renderMetrics().includes("clementinemux_gateway_cold_targets 1") ? true : null,
  );
  return { ...started, warm, cold };
}

/** Grants a permit of the first target to each ask. */
function grantAll({ asks }: PermitRequest): PermitResponse {
  const answers = asks.map(({ targets }) => {
    const freeInMs = Object.fromEntries(targets.map(({ id }) => [id, 0]));
    return { target: targets[0]?.id ?? null, startInMs: 0, freeInMs };
  });
  return { answers, knowsCold: true };
}

// Guards against sends to a cold target while no coordinator leads, and while warm targets have room.
t.test(
  "a cold target gets nothing without a permit, and nothing before the warm ones are full",
  async (t) => {
    const running: (() => void)[] = [];
    const { state, call, stop, warm, cold } = await startWithCold(({ id }, socket) => {
      running.push(() => socket.write(whole(id, "ok")));
    });
    const calls = Array.from({ length: 6 }, (_, index) => call({ path: "/p0/" }, `r-${index}`));
    await waitUntil("the warm target is full", () => (running.length === 4 ? true : null));
    await delay(700);
    t.equal(cold.requests.length, 0, "no leader");
    running.splice(0).forEach((finish) => {
      finish();
    });
    const statuses = (await Promise.all(calls)).map(({ status }) => status).sort();
    t.same(statuses, [200, 200, 200, 200, 503, 503]);
    state.takePermits = grantAll;
    const more = Array.from({ length: 5 }, (_, index) => call({ path: "/p0/" }, `m-${index}`));
    await waitUntil("the fifth request is at the cold target", () =>
      cold.requests.length === 1 ? true : null,
    );
    t.equal(warm.requests.length, 8);
    running.forEach((finish) => {
      finish();
    });
    t.ok((await Promise.all(more)).every(({ status }) => status === 200));
    await stop();
  },
);

/** A request whose first attempt at the warm target fails in a way that allows another one. */
interface RetryCase {
  readonly route: Partial<Route>;
  readonly answerWarm: Answer;
  readonly answerCold: Answer;
  readonly servedBody: string;
}

const retryCases: Readonly<Record<string, RetryCase>> = {
  "a retry": {
    route: {},
    answerWarm: ({ id }, socket) => {
      socket.write(notRun(id));
    },
    answerCold: answerOk,
    servedBody: "ok",
  },
  "a resumed stream": {
    route: { kind: RouteKind.Streaming, canResume: true, timeoutMs: 5000 },
    answerWarm: ({ id }, socket) => {
      socket.write(streamHead(id) + chunk(event(1)));
      setTimeout(() => socket.resetAndDestroy(), 50);
    },
    answerCold: ({ id }, socket) => {
      socket.write(streamHead(id) + chunk(event(2)) + streamEnd);
    },
    servedBody: event(1) + event(2),
  },
};

// Guards against attempts after the first that skip the permit, and against permits of a leader that knows no cold targets.
for (const [name, { route, answerWarm, answerCold, servedBody }] of Object.entries(retryCases)) {
  t.test(`${name} goes to a cold target with a permit only`, async (t) => {
    const { state, call, stop, cold } = await startWithCold(answerWarm, route, answerCold);
    const send = (id: string) => call({ method: "POST", path: "/p0/" }, id, "x");
    await send("r-1");
    t.equal(cold.requests.length, 0, "no leader");
    await delay(200);
    state.takePermits = (request) => ({ answers: grantAll(request).answers });
    await send("r-2");
    t.equal(cold.requests.length, 0, "a leader of an earlier release");
    await delay(200);
    state.takePermits = grantAll;
    t.equal((await send("r-3")).body, servedBody);
    t.equal(cold.requests.length, 1);
    await stop();
  });
}

// Guards against ranks that are cold after their restart, and whose group is never found to have recovered.
t.test("a group whose ranks are all cold is probed while it recovers", async (t) => {
  const document = createColdDocument(14);
  const coldStart = { requestsPerS: 14, durationMs: 0 };
  const target = new TestTarget(({ id }, socket) => {
    socket.write(target.requests.length <= 2 ? notRun(id) : whole(id, "ok"));
  });
  const services = [{ ...rankService, coldStart }];
  const { gateway, state, call, stop } = await startGateway({ ...document, services }, [target]);
  state.cold = [{ id: "t-0", bornMs: 1, sequence: 2, leftMs: coldMs }];
  await waitUntil("the gateway knows", () =>
    gateway.renderMetrics().includes("clementinemux_gateway_cold_targets 1") ? true : null,
  );
  state.takePermits = grantAll;
  for (const id of ["r-1", "r-2", "r-3"]) {
    await call({ path: "/p0/" }, id);
    await delay(200);
  }
  t.equal((await call({ path: "/p0/" }, "r-4")).status, 200);
  await stop();
});

// Guards against deployments that ask for nothing and are served differently.
t.test("without a rate in the document, a cold target is used like a warm one", async (t) => {
  const target = new TestTarget(answerOk);
  const { state, call, stop } = await startGateway(
    {
      ...createColdDocument(14),
      services: [{ name: "app", healthPath: "/health", maxConnections: 100, engine: null }],
    },
    [target],
  );
  state.cold = [{ id: "t-0", bornMs: 1, sequence: 2, leftMs: coldMs }];
  await delay(500);
  t.equal((await call({ path: "/p0/" }, "r-1")).status, 200);
  await stop();
});
