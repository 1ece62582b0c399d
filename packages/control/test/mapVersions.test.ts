import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { MapVersionAllocator } from "@clementinemux/experts/hold/MapVersionAllocator";
import { createRoundRobinHosting } from "@clementinemux/experts/hold/createRoundRobinHosting";
import { StandInGroup } from "@clementinemux/experts/test/StandInGroup";
import { createLogger } from "@clementinemux/logging/createLogger";
import { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import { GroupController } from "../ranks/GroupController";
import { CoordinatorMetrics } from "../routes/CoordinatorMetrics";
import { StandInRankChannel } from "./StandInRankChannel";
import { expertParameters as experts } from "./expertParameters";

const logger = createLogger("test", {});
const inspectionMs = 30;
/** Time after which an order without a response is executed. */
const lateMs = 2000;
const hotChoices = 9000;
const coldChoices = 100;

class TermLeader {
  readonly #controller: GroupController;
  readonly #group: StandInGroup;
  readonly #channels: readonly StandInRankChannel[];
  readonly #term: number;
  readonly #counts = new Array<number>(experts.expertsPerSet).fill(0);

  constructor(group: StandInGroup, channels: readonly StandInRankChannel[], term: number) {
    this.#group = group;
    this.#channels = channels;
    this.#term = term;
    this.#controller = new GroupController({
      group: "g",
      parameters: experts,
      term,
      fences: FencingTokens.ofTerm(term),
      getGapObjectiveMs: () => 0,
      activate: () => Promise.resolve(false),
      clock: { monotonicMs: () => group.nowMs, wallMs: () => group.nowMs },
      metrics: new CoordinatorMetrics(),
      logger,
    });
  }

  /** Inspects the group while the experts of one rank, those from `hot` in steps of 4, are in demand. */
  async inspect(hot: number): Promise<void> {
    this.#counts.forEach((count, expert) => {
      this.#counts[expert] = count + (expert % 4 === hot ? hotChoices : coldChoices);
    });
    this.#channels[0]!.counts = [...this.#counts];
    const inspections = this.#channels.map((channel) => channel.inspect(this.#term, InspectionPart.Counts));
    await this.#controller.step(this.#channels, await Promise.all(inspections));
    this.#group.advance(inspectionMs);
  }
}

function createGroup(): { group: StandInGroup; channels: StandInRankChannel[] } {
  const group = new StandInGroup({ ranks: 4, random: createRandom(1), lateShare: 0 });
  return { group, channels: group.ranks.map((_, rank) => new StandInRankChannel(group, rank)) };
}

function isActive({ ranks }: StandInGroup): boolean {
  return ranks.every(({ mapVersion }) => mapVersion > 0);
}

/** Has a leader inspect the group until a map is active on all ranks and a pass has begun with it. */
async function inspectUntilActive(leader: TermLeader, group: StandInGroup, hot: number): Promise<void> {
  for (let round = 0; round < 60 && !isActive(group); round += 1) {
    await leader.inspect(hot);
  }
  group.advance(100);
}

// Guards against ranks that run one pass with different maps of the same version: a leader does not see which
// map is being copied.
t.test("a new leader never reuses the version of a map that is still being copied", async (t) => {
  const { group, channels } = createGroup();
  const first = new TermLeader(group, channels, 2);
  channels[2]!.dropsOrders = true;
  channels[3]!.dropsOrders = true;
  for (let round = 0; round < 10 && group.ranks[0]?.preparing === null; round += 1) {
    await first.inspect(0);
  }
  t.ok(group.ranks[0]?.preparing, "the first leader has begun");
  t.ok(
    group.ranks.every(({ preparedVersion }) => preparedVersion === null),
    "its copies are not complete",
  );
  channels[2]!.dropsOrders = false;
  channels[3]!.dropsOrders = false;
  await inspectUntilActive(new TermLeader(group, channels, 3), group, 1);
  t.ok(isActive(group), "a map is active");
  t.equal(group.mixedPasses, 0);
});

// Guards against a copy that starts seconds after its order, when another leader has used the version for
// another map.
t.test("a prepare order that is executed late does not mix maps", async (t) => {
  const { group, channels } = createGroup();
  const late = channels.slice(0, 2);
  const first = new TermLeader(group, channels, 2);
  for (const channel of channels) {
    channel.dropsOrders = true;
  }
  for (let round = 0; round < 10 && channels[0]?.droppedOrders.length === 0; round += 1) {
    await first.inspect(0);
  }
  const orders = late.flatMap(({ droppedOrders }) => droppedOrders.slice(0, 1));
  t.same(
    orders.map(({ fence, order }) => [FencingTokens.getTerm(fence), order.rank]),
    [
      [2, 0],
      [2, 1],
    ],
  );
  channels[2]!.dropsOrders = false;
  channels[3]!.dropsOrders = false;
  const second = new TermLeader(group, channels, 3);
  const startMs = group.nowMs;
  while (group.nowMs - startMs < lateMs) {
    await second.inspect(1);
  }
  t.ok(group.ranks[2]?.preparedVersion, "the second leader has planned");
  for (const { fence, order } of orders) {
    t.equal(group.order(order, fence), true, "the first order to a rank is executed");
  }
  channels[0]!.dropsOrders = false;
  channels[1]!.dropsOrders = false;
  await inspectUntilActive(second, group, 1);
  t.ok(isActive(group), "a map is active");
  t.equal(group.mixedPasses, 0);
});

// Guards against another leader, such as one of an earlier release, that has used the version for its own
// map.
t.test("a map is abandoned when a rank has prepared other experts under its version", async (t) => {
  const { group, channels } = createGroup();
  const version = new MapVersionAllocator(2).allocate(0) ?? 0;
  const hosting = createRoundRobinHosting(experts.layerSets, experts.expertsPerSet, 4).map((ranks) =>
    [...ranks].reverse(),
  );
  const leader = new TermLeader(group, channels, 2);
  await leader.inspect(0);
  t.equal(group.order({ kind: HoldOrderKind.Prepare, rank: 1, epoch: 1, version, hosting }), true);
  await inspectUntilActive(leader, group, 0);
  t.ok(isActive(group), "the next plan is active");
  t.ok(group.ranks.every(({ mapVersion }) => mapVersion > version));
  t.equal(group.mixedPasses, 0);
});

// Guards against a map that is armed although it is unknown whether all ranks have prepared the same experts
// for it.
t.test("a group is not paused for a map before the prepared experts of each rank are known", async (t) => {
  const { group, channels } = createGroup();
  const version = new MapVersionAllocator(2).allocate(0) ?? 0;
  const hosting = createRoundRobinHosting(experts.layerSets, experts.expertsPerSet, 4).map((ranks) =>
    [...ranks].reverse(),
  );
  const leader = new TermLeader(group, channels, 2);
  channels[1]!.reportsPrepared = false;
  await leader.inspect(0);
  t.equal(group.order({ kind: HoldOrderKind.Prepare, rank: 1, epoch: 1, version, hosting }), true);
  for (let round = 0; round < 40; round += 1) {
    await leader.inspect(0);
  }
  t.ok(
    group.ranks.every(({ preparedVersion }) => preparedVersion === version),
    "all ranks have prepared the version",
  );
  t.equal(group.pausedPasses, 0);
  t.ok(group.ranks.every(({ mapVersion }) => mapVersion === 0));
  channels[1]!.reportsPrepared = true;
  await inspectUntilActive(leader, group, 0);
  t.ok(
    group.ranks.every(({ mapVersion }) => mapVersion > version),
    "the next plan is active",
  );
  t.equal(group.mixedPasses, 0);
});
