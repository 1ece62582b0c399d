import { Left, Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { FenceNumbers } from "@clementinemux/experts/hold/FenceNumbers";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { RankFence } from "@clementinemux/experts/hold/RankFence";
import { HeldGroup } from "@clementinemux/experts/test/HeldGroup";
import { createLogger } from "@clementinemux/logging/createLogger";
import { Counters } from "@clementinemux/metrics/Counters";
import { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import { MapActivator } from "@clementinemux/ranker/MapActivator";
import { OrderOutcome } from "@clementinemux/ranker/OrderOutcome";
import type { OrderRequest } from "@clementinemux/ranker/OrderRequest";
import { OrderWay } from "@clementinemux/ranker/OrderWay";
import { RankLink } from "@clementinemux/ranker/RankLink";
import { MessageName } from "@clementinemux/wire/MessageName";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { WireError } from "@clementinemux/wire/WireError";
import { WireErrorCode } from "@clementinemux/wire/WireErrorCode";
import { silentClient } from "./silentClient";

interface GivenOrder {
  readonly way: OrderWay;
  readonly fence: number;
}

const firstFence = FenceNumbers.ofTerm(1).floor;
const arm: HoldOrder = { kind: HoldOrderKind.Arm, rank: 0, epoch: 1, version: 1, step: 4 };
/** Longer than a process is taken for silent after a call without an answer. */
const longAfterMs = 1500;

/** Links to the process beside a rank, which gives no answer while `error` is set, and a rank behind it. */
class LinksToOne extends PeerLinks {
  error: WireErrorCode | null = WireErrorCode.Timeout;
  inspections = 0;
  readonly given: GivenOrder[] = [];

  constructor() {
    super(undefined);
  }

  override call(_address: string, name: string, body: unknown): Promise<Either<WireError, unknown>> {
    if (name === (MessageName.InspectRank as string)) {
      this.inspections += 1;
    } else {
      this.given.push({ way: OrderWay.Ranker, fence: (body as OrderRequest).fence });
    }
    const { error } = this;
    const answer = name === (MessageName.InspectRank as string) ? null : true;
    return Promise.resolve(error === null ? Right(answer) : Left(new WireError(error, "no answer")));
  }
}

function createWorld() {
  const state = { nowMs: 0, directAnswer: true as boolean | null };
  const links = new LinksToOne();
  const link = new RankLink({
    links,
    place: { address: "rank", rankerAddress: "ranker" },
    direct: {
      ...silentClient,
      order: (_, fence) => {
        links.given.push({ way: OrderWay.Direct, fence });
        return Promise.resolve(state.directAnswer);
      },
    },
    orders: new Counters("orders", "outcome", Object.values(OrderOutcome)),
    refusedOrders: new Counters("refused", "kind", Object.values(HoldOrderKind)),
    clock: { monotonicMs: () => state.nowMs, wallMs: () => state.nowMs },
    logger: createLogger("test", {}),
  });
  const fence = new RankFence(FenceNumbers.ofTerm(1));
  /** Gives an order; resolves with the ways it took, each with its fence counted from the first one. */
  const give = async () => {
    links.given.length = 0;
    await link.order(fence, arm);
    return links.given.map(({ way, fence: number }) => [way, number - firstFence]);
  };
  return { state, links, link, give };
}

// Guards against a group that is held for the timeout of a silent process at each order to its rank.
t.test("an order goes the direct way first after the process beside the rank was silent", async (t) => {
  const { state, link, give } = createWorld();
  await link.inspect(1, InspectionPart.Counts);
  t.same(await give(), [[OrderWay.Direct, 0]]);
  state.nowMs += longAfterMs;
  t.same((await give())[0], [OrderWay.Ranker, 0], "the process is tried again");
});

// Guards against a held group whose rank leaves an order unanswered: its process answers, and has the fresh state at once.
t.test("an order that a rank leaves unanswered does not make its process silent", async (t) => {
  const { links, link, give } = createWorld();
  t.same(await give(), [
    [OrderWay.Ranker, 0],
    [OrderWay.Direct, 1],
  ]);
  links.error = null;
  await link.inspect(1, InspectionPart.None);
  t.equal(links.inspections, 1);
  t.same(await give(), [[OrderWay.Ranker, 1]]);
});

// Guards against orders to a process that is not there.
t.test("a process whose connection is refused is silent at once", async (t) => {
  const { links, give } = createWorld();
  links.error = WireErrorCode.ConnectFailed;
  await give();
  t.same(await give(), [[OrderWay.Direct, 1]]);
});

// Guards against two ways of one order with the same fence, of which the first may be carried out after the second.
t.test("the second way of an order has a higher fence whichever is first", async (t) => {
  const { state, link, give } = createWorld();
  await link.inspect(1, InspectionPart.Counts);
  state.directAnswer = null;
  t.same(await give(), [
    [OrderWay.Direct, 0],
    [OrderWay.Ranker, 1],
  ]);
});

t.test("a process that answers is not taken for silent", async (t) => {
  const { links, link, give } = createWorld();
  await link.inspect(1, InspectionPart.Counts);
  t.equal((await give())[0]?.[0], OrderWay.Direct, "a look without an answer counts as well");
  links.error = null;
  await link.inspect(1, InspectionPart.Counts);
  t.same(await give(), [[OrderWay.Ranker, 0]]);
  links.error = WireErrorCode.Remote;
  await link.inspect(1, InspectionPart.Counts);
  t.same(await give(), [[OrderWay.Ranker, 0]], "a refusal is an answer");
});

// Guards against a held group whose state is read only after the timeout of each silent process.
t.test("a silent process is asked for counts only", async (t) => {
  const { state, links, link } = createWorld();
  await link.inspect(1, InspectionPart.Counts);
  await link.inspect(1, InspectionPart.None);
  await link.inspect(1, InspectionPart.Experts);
  t.equal(links.inspections, 1);
  await link.inspect(1, InspectionPart.Counts);
  t.equal(links.inspections, 2);
  state.nowMs += longAfterMs;
  await link.inspect(1, InspectionPart.None);
  t.equal(links.inspections, 3);
});

// Guards against an activation that is handed over and not answered in time, as its process waits for silent ones.
t.test("the process that gives the orders for the lead knows of silent ranks", async (t) => {
  const group = new HeldGroup({ ranks: 1, random: createRandom(1), lateShare: 0 });
  Object.assign(group.ranks[0] ?? {}, { preparedVersion: 1, highestVersion: 1 });
  const links = new LinksToOne();
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
    fence: FenceNumbers.ofTerm(3).handOver(),
    version: 1,
    epoch: 1,
    leadSteps: 2,
    places: [{ address: "rank", rankerAddress: "ranker" }],
    silentRanks: [0],
    states: group.ranks.map((rank) => ({ ...rank })),
  });
  t.equal(isDone, true);
  t.same(links.given, []);
  t.equal(group.ranks[0]?.armed?.version, 1);
});
