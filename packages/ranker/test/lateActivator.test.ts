import t from "tap";
import { Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import { createRandom } from "@clementinemux/common/createRandom";
import { FenceNumbers } from "@clementinemux/experts/hold/FenceNumbers";
import { GroupActivation } from "@clementinemux/experts/hold/GroupActivation";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { createTurnHosting } from "@clementinemux/experts/hold/createTurnHosting";
import { HeldGroup } from "@clementinemux/experts/test/HeldGroup";
import { createLogger } from "@clementinemux/logging/createLogger";
import { Counters } from "@clementinemux/metrics/Counters";
import { MapActivator } from "@clementinemux/ranker/MapActivator";
import { OrderOutcome } from "@clementinemux/ranker/OrderOutcome";
import type { InspectRequest } from "@clementinemux/ranker/InspectRequest";
import type { OrderRequest } from "@clementinemux/ranker/OrderRequest";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import type { WireError } from "@clementinemux/wire/WireError";
import { silentClient } from "./silentClient";

/** Version that no map has. A rank refuses to disarm the one in force. */
const reservedVersion = 1_000_000;
const hosting = createTurnHosting(1, 4, 4);
const slowRank = 2;

/** Links to the processes beside the ranks of a stand-in group; the state of one rank is read when `gate` resolves. */
class GroupLinks extends PeerLinks {
  readonly #group: HeldGroup;
  readonly #gate: Promise<void>;

  constructor(group: HeldGroup, gate: Promise<void>) {
    super(undefined);
    this.#group = group;
    this.#gate = gate;
  }

  override async call(address: string, _name: string, body: unknown): Promise<Either<WireError, unknown>> {
    const request = body as InspectRequest | OrderRequest;
    if ("order" in request) {
      return Right(this.#group.order(request.order, request.fence));
    }
    const rank = Number(address);
    if (rank === slowRank) {
      await this.#gate;
    }
    const state = this.#group.inspect(rank);
    return Right({
      group: "g",
      size: this.#group.ranks.length,
      state,
      pace: 1,
      counts: null,
      experts: null,
      preparedDigest: null,
    });
  }
}

function createActivator(group: HeldGroup, gate: Promise<void>): MapActivator {
  return new MapActivator({
    links: new GroupLinks(group, gate),
    openRank: (address) => ({
      ...silentClient,
      inspectState: () => Promise.resolve(group.inspect(Number(address))),
      order: (order, fence) => Promise.resolve(group.order(order, fence)),
    }),
    orders: new Counters("orders", "outcome", Object.values(OrderOutcome)),
    refusedOrders: new Counters("refused", "kind", Object.values(HoldOrderKind)),
    clock: { monotonicMs: () => group.nowMs, wallMs: () => group.nowMs },
    logger: createLogger("test", {}),
  });
}

/** Lead that gives all orders itself; resolves when the map is in force, or armed for a pass that has not begun. */
async function bringIntoForce(group: HeldGroup, lead: GroupActivation, version: number): Promise<void> {
  lead.aim({ version, epoch: 1, hosting });
  for (
    let round = 0;
    round < 40 && !group.ranks.every(({ armed }) => armed?.version === version);
    round += 1
  ) {
    await lead.advance(group.ranks.map((rank) => ({ ...rank })));
    group.advance(group.ranks.every(({ armed }) => armed?.version === version) ? 0 : 30);
  }
}

// Guards against a process that stood still while it read the states of the ranks: some are from before the lead's next
// map and some from after, so that it takes that map for one that cannot be completed and disarms a rank of it.
t.test("a process that goes on late gives no orders about a later map", async (t) => {
  const group = new HeldGroup({ ranks: 4, random: createRandom(1), lateShare: 0 });
  const fences = FenceNumbers.ofTerm(3);
  const lead = new GroupActivation({
    inspect: (rank) => Promise.resolve(group.inspect(rank)),
    order: (order, { number }) => Promise.resolve(group.order(order, number)),
    fences,
    nowMs: () => group.nowMs,
    reservedVersion,
  });
  for (const rank of group.ranks) {
    Object.assign(rank, { preparedVersion: 1, highestVersion: 1 });
  }
  const states = group.ranks.map((rank) => ({ ...rank }));
  const places = states.map(({ rank }) => ({ address: String(rank), rankerAddress: String(rank) }));
  await bringIntoForce(group, lead, 1);
  group.advance(250);
  let openGate = (): void => undefined;
  const gate = new Promise<void>((resolve) => {
    openGate = resolve;
  });
  const request = { fence: fences.handOver(), version: 1, epoch: 1, leadSteps: 2, places, states };
  const late = createActivator(group, gate).activate(request);
  await new Promise(setImmediate);
  await bringIntoForce(group, lead, 2);
  t.same(
    group.ranks.map(({ armed }) => armed?.version),
    [2, 2, 2, 2],
  );
  openGate();
  await late;
  group.advance(300);
  t.same(
    group.ranks.map(({ mapVersion }) => mapVersion),
    [2, 2, 2, 2],
  );
  t.equal(group.mixedPasses, 0);
});
