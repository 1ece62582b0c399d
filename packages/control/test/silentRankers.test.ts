import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import { StandInGroup } from "@clementinemux/experts/test/StandInGroup";
import { createLogger } from "@clementinemux/logging/createLogger";
import { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import { GroupController } from "../ranks/GroupController";
import { CoordinatorMetrics } from "../routes/CoordinatorMetrics";
import { StandInRankChannel } from "./StandInRankChannel";
import { expertParameters as experts } from "./expertParameters";

const ranks = 8;
const inspectionMs = 30;
/** Time after which a group runs. Before its first pass is seen, it may be taken for a paused one. */
const warmUpMs = 300;
/** Time that suffices for a leader to plan and activate a map. */
const planMs = 2000;
/** Choices of each expert between two inspections. */
const hotChoices = 2000;
const coldChoices = 25;

/** A group whose requests choose the experts of one rank, and its leader. */
class DemandScenario {
  readonly group = new StandInGroup({ ranks, random: createRandom(1), lateShare: 0 });
  readonly channels = this.group.ranks.map((_, rank) => new StandInRankChannel(this.group, rank));
  /** Rank whose experts, in the first map, are in demand; null for even demand. */
  hotRank: number | null = null;
  readonly #counts = new Array<number>(experts.expertsPerSet).fill(0);
  #leader = this.#createLeader(2);

  get versions(): number[] {
    return this.group.ranks.map(({ mapVersion }) => mapVersion);
  }

  get directInspections(): number {
    return this.channels.reduce((sum, channel) => sum + channel.directInspections, 0);
  }

  replaceLeader(term: number): void {
    this.#leader = this.#createLeader(term);
  }

  async run(durationMs: number): Promise<void> {
    const endMs = this.group.nowMs + durationMs;
    while (this.group.nowMs < endMs) {
      this.#countChoices();
      const inspections = this.channels.map((channel) => channel.inspect(2, InspectionPart.Counts));
      await this.#leader.step(this.channels, await Promise.all(inspections));
      this.group.advance(inspectionMs);
    }
  }

  #countChoices(): void {
    this.#counts.forEach((count, expert) => {
      const isHot = this.hotRank === null || expert % ranks === this.hotRank;
      this.#counts[expert] = count + (isHot ? hotChoices : coldChoices);
    });
    for (const channel of this.channels) {
      channel.counts = [...this.#counts];
    }
  }

  #createLeader(term: number): GroupController {
    const clock = { monotonicMs: () => this.group.nowMs, wallMs: () => this.group.nowMs };
    return new GroupController({
      group: "g",
      parameters: experts,
      term,
      fences: FencingTokens.ofTerm(term),
      getGapObjectiveMs: () => 0,
      activate: () => Promise.resolve(false),
      clock,
      metrics: new CoordinatorMetrics(),
      logger: createLogger("test", {}),
    });
  }
}

async function startScenario(): Promise<DemandScenario> {
  const scenario = new DemandScenario();
  await scenario.run(warmUpMs);
  return scenario;
}

// Guards against a group that gets no new maps while the ranker of one of its ranks is down.
t.test("a map is activated while a ranker is silent", async (t) => {
  const scenario = await startScenario();
  scenario.channels[3]!.isSilent = true;
  scenario.hotRank = 0;
  await scenario.run(planMs);
  t.ok(Math.min(...scenario.versions) > 0, `versions ${scenario.versions.join()}`);
  t.equal(scenario.group.mixedPasses, 0);
});

// Guards against a shift of demand that has no effect while many rankers restart, including that of the hot
// rank.
t.test("the map follows a shift of demand while a quarter of the rankers is silent", async (t) => {
  const scenario = await startScenario();
  scenario.hotRank = 0;
  await scenario.run(planMs);
  const before = Math.max(...scenario.versions);
  t.ok(before > 0);
  scenario.channels[0]!.isSilent = true;
  scenario.channels[5]!.isSilent = true;
  scenario.hotRank = 2;
  await scenario.run(planMs);
  t.ok(Math.min(...scenario.versions) > before, `versions ${scenario.versions.join()} after ${before}`);
  t.equal(scenario.group.mixedPasses, 0);
});

// Guards against direct reads at each inspection, which are charged for, of a group that needs no other map.
t.test("ranks are not read directly while no plan is worthwhile", async (t) => {
  const scenario = await startScenario();
  scenario.channels[3]!.isSilent = true;
  await scenario.run(planMs);
  t.equal(scenario.directInspections, 0);
});

// Guards against direct reads at each inspection for a map that takes long to copy.
t.test("the ranks are read directly a few times for each map", async (t) => {
  const scenario = await startScenario();
  scenario.channels[3]!.isSilent = true;
  scenario.hotRank = 0;
  await scenario.run(planMs);
  t.ok(Math.min(...scenario.versions) > 0);
  t.ok(scenario.directInspections <= 12, `${scenario.directInspections} direct reads`);
});

// Guards against a map that is planned for a failed rank, whose group recovers without any map.
t.test("no map is planned while a rank is unreachable", async (t) => {
  const scenario = await startScenario();
  scenario.hotRank = 0;
  const channel = scenario.channels[3]!;
  let reads = 0;
  channel.isSilent = true;
  channel.inspectDirectly = () => {
    reads += 1;
    return Promise.resolve(null);
  };
  await scenario.run(planMs);
  t.ok(reads > 0 && reads <= 3, `${reads} direct reads`);
  t.ok(
    scenario.group.ranks.every(({ preparing, preparedVersion }) => !preparing && preparedVersion === null),
  );
  scenario.group.recover();
  channel.isSilent = false;
  await scenario.run(planMs);
  t.ok(Math.min(...scenario.versions) > 0, "the recovered group gets its map");
  t.equal(scenario.group.mixedPasses, 0);
});

// Guards against a new leader that cannot plan from the active map, because the expert lists of one rank are
// missing.
t.test("a new leader reads the expert lists of a silent ranker's rank directly", async (t) => {
  const scenario = await startScenario();
  scenario.hotRank = 0;
  await scenario.run(planMs);
  const before = Math.max(...scenario.versions);
  t.ok(before > 0);
  scenario.channels[5]!.isSilent = true;
  scenario.hotRank = 2;
  scenario.replaceLeader(3);
  await scenario.run(planMs);
  t.ok(Math.min(...scenario.versions) > before, `versions ${scenario.versions.join()} after ${before}`);
  t.equal(scenario.group.mixedPasses, 0);
});
