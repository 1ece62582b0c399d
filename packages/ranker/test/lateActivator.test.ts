import t from "tap";
import { Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import { createRandom } from "@clementinemux/common/createRandom";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import { GroupActivation } from "@clementinemux/experts/hold/GroupActivation";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { createRoundRobinHosting } from "@clementinemux/experts/hold/createRoundRobinHosting";
import { StandInGroup } from "@clementinemux/experts/test/StandInGroup";
import { createLogger } from "@clementinemux/logging/createLogger";
import { Counters } from "@clementinemux/metrics/Counters";
import { MapActivator } from "@clementinemux/ranker/MapActivator";
import { OrderOutcome } from "@clementinemux/ranker/OrderOutcome";
import type { InspectRequest } from "@clementinemux/ranker/InspectRequest";
import type { OrderRequest } from "@clementinemux/ranker/OrderRequest";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import type { WireError } from "@clementinemux/wire/WireError";
import { silentClient } from "./silentClient";

/** Version that no map has. A rank rejects an order to disarm its active version. */
const reservedVersion = 1_000_000;
const hosting = createRoundRobinHosting(1, 4, 4);
const slowRank = 2;

/**
 * Stand-in for the links to a group's rankers. The state of `slowRank` is read only once `gate` has resolved.
 */
class GroupLinks extends PeerLinks {
  readonly #group: StandInGroup;
  readonly #gate: Promise<void>;

  constructor(group: StandInGroup, gate: Promise<void>) {
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

function createActivator(group: StandInGroup, gate: Promise<void>): MapActivator {
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

/**
 * Activates a map by a leader that sends all orders itself. Resolves when the map is active, or armed for a
 * forward pass that has not started.
 */
async function activateMap(group: StandInGroup, leader: GroupActivation, version: number): Promise<void> {
  leader.setDesiredMap({ version, epoch: 1, hosting });
  for (
    let round = 0;
    round < 40 && !group.ranks.every(({ armed }) => armed?.version === version);
    round += 1
  ) {
    await leader.advance(group.ranks.map((rank) => ({ ...rank })));
    group.advance(group.ranks.every(({ armed }) => armed?.version === version) ? 0 : 30);
  }
}

// Guards against a process that stalls while it reads the states of the ranks. Some states are then from
// before the leader's next map and some from after, so that the process takes that map for one that cannot be
// completed and disarms it at a rank.
t.test("a process that resumes after a stall sends no orders about a later map", async (t) => {
  const group = new StandInGroup({ ranks: 4, random: createRandom(1), lateShare: 0 });
  const tokens = FencingTokens.ofTerm(3);
  const leader = new GroupActivation({
    inspect: (rank) => Promise.resolve(group.inspect(rank)),
    order: (order, { value: number }) => Promise.resolve(group.order(order, number)),
    tokens,
    nowMs: () => group.nowMs,
    reservedVersion,
  });
  for (const rank of group.ranks) {
    Object.assign(rank, { preparedVersion: 1, highestVersion: 1 });
  }
  const states = group.ranks.map((rank) => ({ ...rank }));
  const places = states.map(({ rank }) => ({ address: String(rank), rankerAddress: String(rank) }));
  await activateMap(group, leader, 1);
  group.advance(250);
  let openGate = (): void => undefined;
  const gate = new Promise<void>((resolve) => {
    openGate = resolve;
  });
  const request = { fence: tokens.reserve(), version: 1, epoch: 1, leadSteps: 2, places, states };
  const late = createActivator(group, gate).activate(request);
  await new Promise(setImmediate);
  await activateMap(group, leader, 2);
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
