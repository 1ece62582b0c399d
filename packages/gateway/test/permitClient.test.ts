import t from "tap";
import { ColdPermitOutcome } from "@clementinemux/gateway/ColdPermitOutcome";
import { GatewayHandler } from "@clementinemux/gateway/GatewayHandler";
import { PermitClient } from "@clementinemux/gateway/PermitClient";
import { PermitOutcome } from "@clementinemux/gateway/PermitOutcome";
import { createLogger } from "@clementinemux/logging/createLogger";
import { Counters } from "@clementinemux/metrics/Counters";
import { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import { LimitTable } from "@clementinemux/registry/LimitTable";
import type { PermitRequest } from "@clementinemux/registry/PermitRequest";
import type { PermitResponse } from "@clementinemux/registry/PermitResponse";
import { createTargetRecord } from "../../control/test/createTargetRecord";

const target = createTargetRecord();

interface ColdState {
  getRatePerS: () => number | null;
  readonly outcomes: Counters<ColdPermitOutcome>;
}

function createClient(limitPerS = 2, cold: ColdState | null = null) {
  const state = {
    nowMs: 10_000,
    calls: [] as PermitRequest[],
    answerMs: 0,
    response: null as PermitResponse | null,
  };
  const clock = { monotonicMs: () => state.nowMs, wallMs: () => state.nowMs };
  const limits = new LimitTable();
  limits.note(target, limitPerS, state.nowMs);
  const outcomes = new Counters("permits", "outcome", Object.values(PermitOutcome));
  const logger = createLogger("test", {});
  const errors = new ErrorBoundary({ name: "errors", handlers: Object.values(GatewayHandler), logger });
  const call = (request: PermitRequest): Promise<PermitResponse | null> => {
    state.calls.push(request);
    state.nowMs += state.answerMs;
    return Promise.resolve(state.response);
  };
  const client = new PermitClient({
    limits,
    cold:
      cold === null
        ? null
        : {
            getRatePerS: () => cold.getRatePerS(),
            listIds: () => new Set([target.id]),
            outcomes: cold.outcomes,
          },
    call,
    getLiveEntries: () => 4,
    outcomes,
    errors,
    clock,
    random: () => 0,
  });
  return { state, client, limits, outcomes, errors };
}

function answer(granted: string | null, freeInMs: number | null): PermitResponse["answers"][number] {
  return { target: granted, startInMs: 0, freeInMs: { "t-1": freeInMs } };
}

t.test("asks of one turn share a call, and no call is made for a permit that is out of reach", async (t) => {
  const { state, client } = createClient();
  state.response = { answers: [answer("t-1", 500), answer(null, 500)] };
  const permits = await Promise.all([client.take([target], 100), client.take([target], 100)]);
  t.equal(permits[0]?.target.id, "t-1");
  t.equal(permits[1], null);
  t.equal(state.calls.length, 1);
  t.notOk(client.mayHave(target, 400));
  t.ok(client.mayHave(target, 500));
  client.reset("t-1");
  t.ok(client.mayHave(target, 0), "the limit has changed");
});

t.test("a permit is void after its time, and so is one whose answer was late", async (t) => {
  const { state, client, outcomes } = createClient();
  state.response = { answers: [answer("t-1", 500)] };
  const permit = await client.take([target], 100);
  state.nowMs += 101;
  t.notOk(permit === null || client.checkValid(permit));
  t.equal(outcomes.get(PermitOutcome.Expired), 1);
  state.answerMs = 401;
  t.equal(await client.take([target], 100), null);
});

t.test(
  "without a coordinator that grants permits there are none, and it is left alone for a while",
  async (t) => {
    const { state, client } = createClient();
    t.equal(await client.take([target], 100), null);
    t.ok(client.isBlocked);
    t.notOk(client.mayHave(target, 1000));
    state.nowMs += 100;
    t.ok(client.mayHave(target, 0));
  },
);

// Guards against an answer that ends the process, or leaves requests without an end.
t.test("an odd answer costs only its requests", async (t) => {
  for (const odd of [
    {},
    { answers: 7 },
    { answers: [{}] },
    { answers: [{ target: "t-1", freeInMs: null }] },
  ]) {
    const { state, client } = createClient();
    state.response = odd as unknown as PermitResponse;
    t.equal(await client.take([target], 100), null, JSON.stringify(odd));
  }
});

t.test("rejected callers return one after the other, by the share of this gateway", async (t) => {
  const { state, client } = createClient();
  state.response = { answers: [answer(null, 1000)] };
  await client.take([target], 100);
  const returns = [0, 1, 2, 3, 4, 5].map(() => client.bookReturnMs([target]));
  t.same(returns, [1000, 3000, 5000, 7000, 9000, 10_000]);
  t.equal(createClient(0).client.bookReturnMs([target]), 10_000, "limit 0");
});

t.test("a limited target is probed once in a while when nothing is heard of it", (t) => {
  const { state, client, limits } = createClient();
  t.notOk(client.takeProbe(target));
  state.nowMs += 1001;
  t.ok(client.takeProbe(target));
  t.notOk(client.takeProbe(target));
  state.nowMs += 1001;
  limits.note(target, 2, state.nowMs);
  t.notOk(client.takeProbe(target), "heard of just now");
  t.end();
});

// Guards against permits of a high limit, or of a leader of an earlier release, that are used while the target is cold.
t.test("only permits that were granted for a cold target are used while it is cold", async (t) => {
  const outcomes = new Counters("cold", "outcome", Object.values(ColdPermitOutcome));
  const cold: ColdState = { getRatePerS: () => null, outcomes };
  const { state, client } = createClient(40, cold);
  state.response = { answers: [answer("t-1", 0)], knowsCold: true };
  const early = await client.take([target], 100);
  cold.getRatePerS = () => 9.6;
  t.notOk(early === null || client.checkValid(early));
  t.equal(outcomes.get(ColdPermitOutcome.Expired), 1);
  const permit = await client.take([target], 100);
  t.same(state.calls.at(-1)?.coldRatesPerS, { "t-1": 9.6 });
  t.ok(permit !== null && client.checkValid(permit));
  state.response = { answers: [answer("t-1", 0)] };
  t.equal(await client.take([target], 100), null);
  t.equal(outcomes.get(ColdPermitOutcome.Failed), 1);
});

// Guards against a leader that a large fleet keeps busy while targets are cold.
t.test("while targets are cold, a gateway makes few calls, and asks share them", async (t) => {
  const outcomes = new Counters("cold", "outcome", Object.values(ColdPermitOutcome));
  const { state, client } = createClient(40, { getRatePerS: () => 9.6, outcomes });
  const share = answer("t-1", 0);
  state.response = { answers: [share, share], knowsCold: true };
  await client.take([target], 100);
  t.notOk(client.mayHave(target, 5), "the next call is 6.9 ms away, for 580 calls per second of 4 gateways");
  t.ok(client.mayHave(target, 7));
  const both = [client.take([target], 100), client.take([target], 100)];
  state.nowMs += 7;
  t.ok((await Promise.all(both)).every((permit) => permit !== null));
  t.equal(state.calls.length, 2);
  t.equal(state.calls.at(-1)?.asks[0]?.maxWaitMs, 93);
});
