import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { RankFencingToken } from "@clementinemux/experts/hold/RankFencingToken";
import { getHostingDigest } from "@clementinemux/experts/hold/getHostingDigest";
import { LogRecorder } from "@clementinemux/logging/test/LogRecorder";
import { Counters } from "@clementinemux/metrics/Counters";
import { OrderOutcome } from "@clementinemux/ranker/OrderOutcome";
import { RankLink } from "@clementinemux/ranker/RankLink";
import { Ranker } from "@clementinemux/ranker/Ranker";
import { describeOrder } from "@clementinemux/ranker/describeOrder";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { silentClient } from "./silentClient";

interface Tap {
  teardown(action: () => Promise<void>): void;
}

const hosting = [[[0, 2], [1]]];
const digest = getHostingDigest(hosting);
const ids = { rank: 1, epoch: 4 };
const prepare: HoldOrder = { kind: HoldOrderKind.Prepare, ...ids, version: 16, hosting };
const arm: HoldOrder = { kind: HoldOrderKind.Arm, ...ids, version: 16, step: 290 };
const go: HoldOrder = { kind: HoldOrderKind.Go, ...ids, step: 290 };
const address = "127.0.0.1:9";
const fence = FencingTokens.ofTerm(3).floor;

function createFence(term: number): RankFencingToken {
  return new RankFencingToken(FencingTokens.ofTerm(term));
}

/**
 * Creates a link to a rank that responds to all orders with `answer`, and starts its ranker unless `isAlone`.
 */
async function start(t: Tap, answer: boolean | null, isAlone = false) {
  const leader = new LogRecorder();
  const sidecar = new LogRecorder();
  const rank = {
    ...silentClient,
    order: () => Promise.resolve(answer),
  };
  const host = "127.0.0.1";
  const [framePort = 0] = await findFreePorts(1);
  const clock = new SystemClock();
  const ranker = new Ranker({ host, framePort, metricsPort: null, clock, rank, logger: sidecar.logger });
  if (!isAlone) {
    await ranker.start();
  }
  const links = new PeerLinks(undefined);
  t.teardown(async () => {
    links.close();
    await ranker.close();
  });
  const rankerAddress = `${host}:${framePort}`;
  const orders = new Counters("orders", "outcome", Object.values(OrderOutcome));
  const endpoints = { address, rankerAddress };
  const refusedOrders = new Counters("refused", "kind", Object.values(HoldOrderKind));
  const link = new RankLink({
    links,
    endpoints,
    direct: rank,
    orders,
    refusedOrders,
    clock,
    logger: leader.logger,
  });
  return { link, leader, sidecar, rankerAddress, refusedOrders };
}

// Guards against log lines that do not identify the map of an order.
t.test("an order is described by its version, step and digest", (t) => {
  t.same(describeOrder(prepare), { kind: "prepare", ...ids, version: 16, digest });
  t.same(describeOrder(arm), { kind: "arm", ...ids, version: 16, step: 290 });
  t.same(describeOrder({ kind: HoldOrderKind.Disarm, ...ids, version: 16 }), {
    kind: "disarm",
    ...ids,
    version: 16,
  });
  t.same(describeOrder({ kind: HoldOrderKind.Hold, ...ids, step: 290 }), { kind: "hold", ...ids, step: 290 });
  t.same(describeOrder(go), { kind: "go", ...ids, step: 290 });
  t.end();
});

// Guards against an order whose map cannot be compared with the planned one.
t.test("the ranker logs the map of an order", async (t) => {
  const { link, leader, sidecar } = await start(t, true);
  t.equal(await link.order(createFence(3), prepare), true);
  const context = {
    kind: "prepare",
    ...ids,
    version: 16,
    digest,
    term: 3,
    fence,
    way: "ranker",
    isConfirmed: true,
  };
  t.same(sidecar.find("order given"), [{ level: "info", event: "order given", context }]);
  t.same(leader.find("order given"), []);
  t.same(leader.find("order refused"), []);
});

// Guards against orders that nobody logs because they bypass the ranker.
t.test("a direct order is logged by the leader", async (t) => {
  const { link, leader, sidecar } = await start(t, true);
  t.equal(await link.order(createFence(3), go), true);
  const context = {
    kind: "go",
    ...ids,
    step: 290,
    term: 3,
    fence,
    way: "direct",
    address,
    isConfirmed: true,
  };
  t.same(leader.find("order given"), [{ level: "info", event: "order given", context }]);
  t.same(sidecar.find("order given"), []);
});

// Guards against refusals that are logged like any other order: a refusal can mean that two maps share a
// version.
t.test("a refused order is logged as a warning with its path", async (t) => {
  const { link, leader, sidecar, rankerAddress, refusedOrders } = await start(t, false);
  t.equal(await link.order(createFence(3), prepare), false);
  t.equal(await link.order(createFence(3), go), false);
  const fields = { kind: "prepare", ...ids, version: 16, digest, term: 3, fence };
  t.same(leader.find("order refused"), [
    { level: "warn", event: "order refused", context: { ...fields, way: "ranker", address: rankerAddress } },
    {
      level: "warn",
      event: "order refused",
      context: { kind: "go", ...ids, step: 290, term: 3, fence, way: "direct", address },
    },
  ]);
  t.match(sidecar.find("order given"), [{ context: { kind: "prepare", isConfirmed: false } }]);
  const counts = { prepare: 1, hold: 0, arm: 0, disarm: 0, go: 1 };
  t.same(Object.fromEntries(refusedOrders.entries()), counts, "refusals are counted by kind");
});

// Guards against a rejected order of a deposed leader that counts as an order without a response.
t.test("an order of a deposed leader is logged as refused", async (t) => {
  const { link, leader, sidecar } = await start(t, true);
  await link.order(createFence(5), arm);
  t.equal(await link.order(createFence(3), arm), false);
  t.match(leader.find("order refused"), [
    { level: "warn", context: { version: 16, step: 290, term: 3, fence, way: "ranker", why: /term 5/ } },
  ]);
  t.same(leader.find("no answer to an order"), []);
  t.equal(sidecar.find("order given").length, 1);
});

// Guards against a prepare order that may be carried out late and whose log line does not identify its map.
t.test("an order without a response is logged with its map, and sent directly", async (t) => {
  const { link, leader } = await start(t, true, true);
  t.equal(await link.order(createFence(3), prepare), true);
  t.match(leader.find("no answer to an order"), [
    { level: "warn", context: { kind: "prepare", version: 16, digest, term: 3, fence, way: "ranker" } },
  ]);
  t.match(leader.find("order given"), [
    {
      level: "info",
      context: { kind: "prepare", version: 16, digest, term: 3, fence: fence + 1, way: "direct" },
    },
  ]);
});
