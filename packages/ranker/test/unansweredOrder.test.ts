import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { createRandom } from "@clementinemux/common/createRandom";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import { GroupActivation } from "@clementinemux/experts/hold/GroupActivation";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { RankFencingToken } from "@clementinemux/experts/hold/RankFencingToken";
import { createRoundRobinHosting } from "@clementinemux/experts/hold/createRoundRobinHosting";
import { StandInGroup } from "@clementinemux/experts/test/StandInGroup";
import { createLogger } from "@clementinemux/logging/createLogger";
import { Counters } from "@clementinemux/metrics/Counters";
import { OrderOutcome } from "@clementinemux/ranker/OrderOutcome";
import { RankLink } from "@clementinemux/ranker/RankLink";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { silentClient } from "./silentClient";

interface Tap {
  teardown(action: () => void): void;
}

type GiveOrder = (order: HoldOrder, fence: number) => boolean | null;

const ranks = 4;
const unresponsiveRank = 2;
const version = 1;

/** Creates a link to a rank without a ranker, so that orders by the ranker's path get no response. */
function createLink(t: Tap, order: GiveOrder): RankLink {
  const links = new PeerLinks(undefined);
  t.teardown(() => {
    links.close();
  });
  return new RankLink({
    links,
    endpoints: { address: "127.0.0.1:9", rankerAddress: "127.0.0.1:9" },
    direct: {
      ...silentClient,
      order: (given, fence) => Promise.resolve(order(given, fence)),
    },
    orders: new Counters("orders", "outcome", Object.values(OrderOutcome)),
    refusedOrders: new Counters("refused", "kind", Object.values(HoldOrderKind)),
    clock: new SystemClock(),
    logger: createLogger("test", {}),
  });
}

// Guards against an order that counts as rejected although its first copy had no response and may still be
// carried out: the refusal of the second copy does not raise the rank's fence.
t.test("an order that only its second path refuses counts as unanswered", async (t) => {
  const link = createLink(t, () => false);
  const arm: HoldOrder = { kind: HoldOrderKind.Arm, rank: 1, epoch: 1, version, step: 3 };
  t.equal(await link.order(new RankFencingToken(FencingTokens.ofTerm(2)), arm), null);
});

// Guards against a single armed rank in a group that has resumed: the first copy of an arm order is carried
// out late, after the rank has rejected the second copy because it took no calls at that moment.
t.test("a group resumes only after the first copy of a refused order is void", async (t) => {
  const group = new StandInGroup({ ranks, random: createRandom(1), lateShare: 0 });
  group.isIdle = true;
  for (const state of group.ranks) {
    Object.assign(state, { preparedVersion: version, highestVersion: version });
  }
  const firstCopies: { readonly order: HoldOrder; readonly fence: number }[] = [];
  const tokens = FencingTokens.ofTerm(2);
  const link = createLink(t, () => false);
  const leader = new GroupActivation({
    inspect: (rank) => Promise.resolve(group.inspect(rank)),
    order: (order, fence) => {
      if (order.rank !== unresponsiveRank || order.kind !== HoldOrderKind.Arm) {
        return Promise.resolve(group.order(order, fence.value));
      }
      firstCopies.push({ order, fence: fence.value });
      // The map can no longer be completed, so the leader abandons it.
      Object.assign(group.ranks[1] ?? {}, { preparedVersion: null, armed: null });
      return link.order(fence, order);
    },
    tokens,
    nowMs: () => group.nowMs,
    reservedVersion: 1_000_000,
  });
  leader.setDesiredMap({ version, epoch: 1, hosting: createRoundRobinHosting(1, 4, ranks) });
  await leader.advance(group.ranks.map((state) => ({ ...state })));
  t.equal(firstCopies.length, 1);
  t.equal(group.ranks[0]?.heldStep, null, "the leader has resumed the group");
  for (const { order, fence } of firstCopies) {
    group.order(order, fence);
  }
  group.isIdle = false;
  group.advance(300);
  t.equal(group.mixedPasses, 0);
});
