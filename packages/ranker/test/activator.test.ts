import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { createRandom } from "@clementinemux/common/createRandom";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { StandInGroup } from "@clementinemux/experts/test/StandInGroup";
import { createLogger } from "@clementinemux/logging/createLogger";
import { Counters } from "@clementinemux/metrics/Counters";
import { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import { MapActivator } from "@clementinemux/ranker/MapActivator";
import { OrderOutcome } from "@clementinemux/ranker/OrderOutcome";
import { Ranker } from "@clementinemux/ranker/Ranker";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { MessageName } from "@clementinemux/wire/MessageName";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { silentClient } from "./silentClient";

const warmUpMs = 10_000;

interface Tap {
  teardown(action: () => Promise<void>): void;
}

/**
 * Starts a real ranker beside each rank of a stand-in group, and an activator that reaches them by the
 * network.
 */
async function start(t: Tap, group: StandInGroup) {
  const kinds: HoldOrderKind[] = [];
  const clock = new SystemClock();
  const logger = createLogger("test", {});
  const [framePort = 0] = await findFreePorts(1);
  const createClient = (rank: number) => ({
    ...silentClient,
    inspectState: () => Promise.resolve(group.inspect(rank)),
    order: (order: HoldOrder, fence: number) => {
      kinds.push(order.kind);
      return Promise.resolve(group.order(order, fence));
    },
  });
  const places = group.ranks.map((_, rank) => ({
    address: `127.0.0.${rank + 1}:9`,
    rankerAddress: `127.0.0.${rank + 1}:${framePort}`,
  }));
  const rankers = places.map((_, rank) => {
    const host = `127.0.0.${rank + 1}`;
    return new Ranker({ host, framePort, metricsPort: null, clock, logger, rank: createClient(rank) });
  });
  await Promise.all(rankers.map((ranker) => ranker.start()));
  const links = new PeerLinks(undefined);
  t.teardown(async () => {
    links.close();
    await Promise.all(rankers.map((ranker) => ranker.close()));
  });
  // Opens the connections first, since on a busy machine that can take longer than the timeout of an order.
  const inspection = { fence: 3, part: InspectionPart.None, countsHeld: null };
  for (const { rankerAddress } of places) {
    await links.call(rankerAddress, MessageName.InspectRank, inspection, warmUpMs);
  }
  const openRank = (address: string) =>
    createClient(places.findIndex((endpoints) => endpoints.address === address));
  const orders = new Counters("orders", "outcome", Object.values(OrderOutcome));
  const refusedOrders = new Counters("refused", "kind", Object.values(HoldOrderKind));
  const activator = new MapActivator({ links, openRank, orders, refusedOrders, clock, logger });
  const states = group.ranks.map((state) => ({ ...state }));
  const request = {
    fence: FencingTokens.ofTerm(3).reserve(),
    version: 1,
    epoch: 1,
    leadSteps: 2,
    places,
    states,
  };
  return { activator, request, kinds };
}

// Guards against a group that stays paused when its leader is killed between hold and go.
t.test("a map that is handed over becomes active without the leader", async (t) => {
  const group = new StandInGroup({ ranks: 4, random: createRandom(1), lateShare: 0 });
  for (const state of group.ranks) {
    Object.assign(state, { preparedVersion: 1, highestVersion: 1 });
  }
  group.advance(70);
  const { activator, request, kinds } = await start(t, group);
  t.equal(await activator.activate(request), true);
  const arms = [HoldOrderKind.Arm, HoldOrderKind.Arm, HoldOrderKind.Arm, HoldOrderKind.Arm];
  t.same(kinds, [HoldOrderKind.Hold, ...arms, HoldOrderKind.Go]);
  group.advance(200);
  t.ok(group.ranks.every(({ mapVersion, heldStep }) => mapVersion === 1 && heldStep === null));
  t.equal(group.mixedPasses, 0);
});

// Guards against a prepare order without experts: the process that sends the orders does not know the map.
t.test("a rank that has lost its prepared experts is left to the leader", async (t) => {
  const group = new StandInGroup({ ranks: 2, random: createRandom(1), lateShare: 0 });
  const { activator, request, kinds } = await start(t, group);
  await activator.activate(request);
  t.notOk(kinds.includes(HoldOrderKind.Prepare));
});
