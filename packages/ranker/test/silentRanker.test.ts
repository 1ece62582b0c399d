import { Left, Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { RankFencingToken } from "@clementinemux/experts/hold/RankFencingToken";
import { StandInGroup } from "@clementinemux/experts/test/StandInGroup";
import { createLogger } from "@clementinemux/logging/createLogger";
import { Counters } from "@clementinemux/metrics/Counters";
import { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import { MapActivator } from "@clementinemux/ranker/MapActivator";
import { OrderOutcome } from "@clementinemux/ranker/OrderOutcome";
import type { OrderRequest } from "@clementinemux/ranker/OrderRequest";
import { OrderPath } from "@clementinemux/ranker/OrderPath";
import { RankLink } from "@clementinemux/ranker/RankLink";
import { MessageName } from "@clementinemux/wire/MessageName";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { WireError } from "@clementinemux/wire/WireError";
import { WireErrorCode } from "@clementinemux/wire/WireErrorCode";
import { silentClient } from "./silentClient";

interface SentOrder {
  readonly way: OrderPath;
  readonly fence: number;
}

const firstFence = FencingTokens.ofTerm(1).floor;
const arm: HoldOrder = { kind: HoldOrderKind.Arm, rank: 0, epoch: 1, version: 1, step: 4 };
/** Longer than a ranker counts as silent after a request without a response. */
const afterSilenceMs = 1500;

/** Stand-in for the link to one ranker, which fails with `error` while that is set. */
class RankerLinks extends PeerLinks {
  error: WireErrorCode | null = WireErrorCode.Timeout;
  inspections = 0;
  readonly sent: SentOrder[] = [];

  constructor() {
    super(undefined);
  }

  override call(_address: string, name: string, body: unknown): Promise<Either<WireError, unknown>> {
    if (name === (MessageName.InspectRank as string)) {
      this.inspections += 1;
    } else {
      this.sent.push({ way: OrderPath.Ranker, fence: (body as OrderRequest).fence });
    }
    const { error } = this;
    const answer = name === (MessageName.InspectRank as string) ? null : true;
    return Promise.resolve(error === null ? Right(answer) : Left(new WireError(error, "no answer")));
  }
}

function createFixture() {
  const state = { nowMs: 0, directAnswer: true as boolean | null };
  const links = new RankerLinks();
  const link = new RankLink({
    links,
    endpoints: { address: "rank", rankerAddress: "ranker" },
    direct: {
      ...silentClient,
      order: (_, fence) => {
        links.sent.push({ way: OrderPath.Direct, fence });
        return Promise.resolve(state.directAnswer);
      },
    },
    orders: new Counters("orders", "outcome", Object.values(OrderOutcome)),
    refusedOrders: new Counters("refused", "kind", Object.values(HoldOrderKind)),
    clock: { monotonicMs: () => state.nowMs, wallMs: () => state.nowMs },
    logger: createLogger("test", {}),
  });
  const fence = new RankFencingToken(FencingTokens.ofTerm(1));
  /**
   * Sends an order; resolves with the paths tried, each with its fence relative to the first fence of the
   * term.
   */
  const sendOrder = async () => {
    links.sent.length = 0;
    await link.order(fence, arm);
    return links.sent.map(({ way, fence: number }) => [way, number - firstFence]);
  };
  return { state, links, link, sendOrder };
}

// Guards against a group that stays paused for the timeout of a silent ranker at each order to its rank.
t.test("an order takes the direct path first after the ranker was silent", async (t) => {
  const { state, link, sendOrder } = createFixture();
  await link.inspect(1, InspectionPart.Counts);
  t.same(await sendOrder(), [[OrderPath.Direct, 0]]);
  state.nowMs += afterSilenceMs;
  t.same((await sendOrder())[0], [OrderPath.Ranker, 0], "the ranker is tried again");
});

// Guards against taking a ranker for silent because its rank did not respond to an order: the ranker still
// responds, and has the state of the paused rank without a delay.
t.test("an order without a response from the rank does not mark the ranker as silent", async (t) => {
  const { links, link, sendOrder } = createFixture();
  t.same(await sendOrder(), [
    [OrderPath.Ranker, 0],
    [OrderPath.Direct, 1],
  ]);
  links.error = null;
  await link.inspect(1, InspectionPart.None);
  t.equal(links.inspections, 1);
  t.same(await sendOrder(), [[OrderPath.Ranker, 1]]);
});

// Guards against orders to a ranker that is not running.
t.test("a ranker that refuses the connection is silent at once", async (t) => {
  const { links, sendOrder } = createFixture();
  links.error = WireErrorCode.ConnectFailed;
  await sendOrder();
  t.same(await sendOrder(), [[OrderPath.Direct, 1]]);
});

// Guards against two copies of one order with the same fence, of which the first may be carried out after the
// second.
t.test("the second path of an order has a higher fence whichever is first", async (t) => {
  const { state, link, sendOrder } = createFixture();
  await link.inspect(1, InspectionPart.Counts);
  state.directAnswer = null;
  t.same(await sendOrder(), [
    [OrderPath.Direct, 0],
    [OrderPath.Ranker, 1],
  ]);
});

t.test("a ranker that responds is not taken for silent", async (t) => {
  const { links, link, sendOrder } = createFixture();
  await link.inspect(1, InspectionPart.Counts);
  t.equal((await sendOrder())[0]?.[0], OrderPath.Direct, "an inspection without a response counts as well");
  links.error = null;
  await link.inspect(1, InspectionPart.Counts);
  t.same(await sendOrder(), [[OrderPath.Ranker, 0]]);
  links.error = WireErrorCode.Remote;
  await link.inspect(1, InspectionPart.Counts);
  t.same(await sendOrder(), [[OrderPath.Ranker, 0]], "a refusal is a response");
});

// Guards against a paused group whose state is read only after the timeout of each silent ranker.
t.test("a silent ranker is queried for counts only", async (t) => {
  const { state, links, link } = createFixture();
  await link.inspect(1, InspectionPart.Counts);
  await link.inspect(1, InspectionPart.None);
  await link.inspect(1, InspectionPart.Experts);
  t.equal(links.inspections, 1);
  await link.inspect(1, InspectionPart.Counts);
  t.equal(links.inspections, 2);
  state.nowMs += afterSilenceMs;
  await link.inspect(1, InspectionPart.None);
  t.equal(links.inspections, 3);
});

// Guards against a handed-over activation that gets no response in time because its process waits for silent
// rankers.
t.test("the process that sends orders for the leader knows the silent ranks", async (t) => {
  const group = new StandInGroup({ ranks: 1, random: createRandom(1), lateShare: 0 });
  Object.assign(group.ranks[0] ?? {}, { preparedVersion: 1, highestVersion: 1 });
  const links = new RankerLinks();
  const activator = new MapActivator({
    links,
    openRank: () => ({
      ...silentClient,
      inspectState: () => Promise.resolve(group.inspect(0)),
      order: (order, fence) => Promise.resolve(group.order(order, fence)),
    }),
    orders: new Counters("orders", "outcome", Object.values(OrderOutcome)),
    refusedOrders: new Counters("refused", "kind", Object.values(HoldOrderKind)),
    clock: { monotonicMs: () => group.nowMs, wallMs: () => group.nowMs },
    logger: createLogger("test", {}),
  });
  const isDone = await activator.activate({
    fence: FencingTokens.ofTerm(3).reserve(),
    version: 1,
    epoch: 1,
    leadSteps: 2,
    places: [{ address: "rank", rankerAddress: "ranker" }],
    silentRanks: [0],
    states: group.ranks.map((rank) => ({ ...rank })),
  });
  t.equal(isDone, true);
  t.same(links.sent, []);
  t.equal(group.ranks[0]?.armed?.version, 1);
});
