import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { createRandom } from "@clementinemux/common/createRandom";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { HeldGroup } from "@clementinemux/experts/test/HeldGroup";
import { createLogger } from "@clementinemux/logging/createLogger";
import { Ranker } from "@clementinemux/ranker/Ranker";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcClient } from "@clementinemux/wire/RpcClient";

const order = { kind: HoldOrderKind.Go as const, rank: 0, epoch: 1, step: 4 };

// Guards against orders of a lead that was replaced while it stood still, and against outcomes that are not counted.
t.test("orders of a deposed lead are refused, the others are counted", async (t) => {
  const answers = [true, false, null];
  const fences: number[] = [];
  const rank = {
    inspect: () => Promise.resolve(null),
    inspectState: () => Promise.resolve(null),
    order: (_: unknown, fence: number) => {
      fences.push(fence);
      return Promise.resolve(answers.shift() ?? null);
    },
  };
  const [framePort = 0, metricsPort = 0] = await findFreePorts(2);
  const clock = new SystemClock();
  const logger = createLogger("test", {});
  const ranker = new Ranker({
    host: "127.0.0.1",
    framePort,
    metricsPort,
    rank,
    openRank: () => rank,
    clock,
    logger,
  });
  await ranker.start();
  const client = new RpcClient({ address: { host: "127.0.0.1", port: framePort }, tls: undefined });
  t.teardown(async () => {
    client.close();
    await ranker.close();
  });
  const give = (fence: number) => client.call(MessageName.OrderRank, { fence, order }, 1000);
  t.equal((await give(5)).extract(), true);
  t.equal((await give(6)).extract(), false);
  t.equal((await give(5)).isLeft(), true);
  t.equal((await give(6)).extract(), null);
  t.same(fences, [5, 6, 6]);
  const text = await (await fetch(`http://127.0.0.1:${metricsPort}/metrics`)).text();
  for (const outcome of ["confirmed", "refused", "no_answer"]) {
    t.match(text, `clementinemux_ranker_orders{outcome="${outcome}"} 1\n`);
  }
  t.match(text, "clementinemux_ranker_fence 6\n");
});

// Guards against a group that stays held when its lead is killed between hold and go.
t.test("a map that is handed over comes into force without the lead", async (t) => {
  const group = new HeldGroup({ ranks: 4, random: createRandom(1), lateShare: 0 });
  for (const state of group.ranks) {
    Object.assign(state, { preparedVersion: 1, highestVersion: 1 });
  }
  group.advance(70);
  const clock = new SystemClock();
  const logger = createLogger("test", {});
  const [framePort = 0] = await findFreePorts(1);
  const createClient = (rank: number) => ({
    inspect: () => Promise.resolve(null),
    inspectState: () => Promise.resolve(group.inspect(rank)),
    order: (order: HoldOrder) => Promise.resolve(group.order(order)),
  });
  const places = group.ranks.map((_, rank) => ({
    address: `127.0.0.${rank + 1}:9`,
    rankerAddress: `127.0.0.${rank + 1}:${framePort}`,
  }));
  const openRank = (address: string) => createClient(places.findIndex((place) => place.address === address));
  const rankers = places.map((_, rank) => {
    const host = `127.0.0.${rank + 1}`;
    const options = { host, framePort, metricsPort: null, clock, logger };
    return new Ranker({ ...options, rank: createClient(rank), openRank });
  });
  await Promise.all(rankers.map((ranker) => ranker.start()));
  const client = new RpcClient({ address: { host: "127.0.0.1", port: framePort }, tls: undefined });
  t.teardown(async () => {
    client.close();
    await Promise.all(rankers.map((ranker) => ranker.close()));
  });
  const states = group.ranks.map((state) => ({ ...state }));
  const request = { fence: 3, version: 1, epoch: 1, leadSteps: 2, places, states };
  client.notify(MessageName.ActivateMap, request);
  await waitUntil("the ranks are armed", () =>
    group.ranks.every(({ armed }) => armed !== null) ? true : null,
  );
  await waitUntil("the group is let go", () => (group.ranks[0]?.heldStep === null ? true : null));
  group.advance(200);
  t.same(
    group.ranks.map(({ mapVersion }) => mapVersion),
    [1, 1, 1, 1],
  );
  t.equal(group.mixedPasses, 0);
  const isDone = (await client.call(MessageName.ActivateMap, { ...request, fence: 2 }, 1000)).isRight();
  t.equal(isDone, false, "guards against an activation for a lead that was deposed");
});

// Guards against a map order without experts: the process beside a rank does not know the map.
t.test("a rank that has lost what it prepared is left to the lead", async (t) => {
  const kinds: HoldOrderKind[] = [];
  const group = new HeldGroup({ ranks: 1, random: createRandom(1), lateShare: 0 });
  const rank = {
    inspect: () => Promise.resolve(null),
    inspectState: () => Promise.resolve(group.inspect(0)),
    order: (order: HoldOrder) => {
      kinds.push(order.kind);
      return Promise.resolve(group.order(order));
    },
  };
  const [framePort = 0] = await findFreePorts(1);
  const options = {
    framePort,
    metricsPort: null,
    clock: new SystemClock(),
    logger: createLogger("test", {}),
  };
  const ranker = new Ranker({ ...options, host: "127.0.0.1", rank, openRank: () => rank });
  await ranker.start();
  const client = new RpcClient({ address: { host: "127.0.0.1", port: framePort }, tls: undefined });
  t.teardown(async () => {
    client.close();
    await ranker.close();
  });
  const places = [{ address: "127.0.0.1:9", rankerAddress: `127.0.0.1:${framePort}` }];
  const states = group.ranks.map((state) => ({ ...state }));
  const request = { fence: 3, version: 1, epoch: 1, leadSteps: 2, places, states };
  await client.call(MessageName.ActivateMap, request, 1000);
  t.notOk(kinds.includes(HoldOrderKind.Prepare));
});
