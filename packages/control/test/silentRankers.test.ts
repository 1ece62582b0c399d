import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { FenceNumbers } from "@clementinemux/experts/hold/FenceNumbers";
import { HeldGroup } from "@clementinemux/experts/test/HeldGroup";
import { createLogger } from "@clementinemux/logging/createLogger";
import { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import { GroupConductor } from "../ranks/GroupConductor";
import { CoordinatorMetrics } from "../routes/CoordinatorMetrics";
import { HeldRankWay } from "./HeldRankWay";
import { expertFigures as figures } from "./expertFigures";

const ranks = 8;
const lookMs = 30;
/** Time after which a group runs; it may be held while its first pass has not been seen. */
const warmUpMs = 300;
/** Time in which a lead plans a map and brings it into force, with some to spare. */
const planMs = 2000;
/** Choices that each rank's requests make between two looks. */
const hotChoices = 2000;
const coldChoices = 25;

/** A group whose requests choose the experts of one rank, and its lead. */
class DemandWorld {
  readonly group = new HeldGroup({ ranks, random: createRandom(1), lateShare: 0 });
  readonly ways = this.group.ranks.map((_, rank) => new HeldRankWay(this.group, rank));
  /** Rank of the first map whose experts are in demand; null for even demand. */
  hotRank: number | null = null;
  readonly #counts = new Array<number>(figures.expertsPerSet).fill(0);
  #lead = this.#createLead(2);

  get versions(): number[] {
    return this.group.ranks.map(({ mapVersion }) => mapVersion);
  }

  get directInspections(): number {
    return this.ways.reduce((sum, way) => sum + way.directInspections, 0);
  }

  replaceLead(term: number): void {
    this.#lead = this.#createLead(term);
  }

  async run(durationMs: number): Promise<void> {
    const endMs = this.group.nowMs + durationMs;
    while (this.group.nowMs < endMs) {
      this.#countChoices();
      const inspections = this.ways.map((way) => way.inspect(2, InspectionPart.Counts));
      await this.#lead.step(this.ways, await Promise.all(inspections));
      this.group.advance(lookMs);
    }
  }

  #countChoices(): void {
    this.#counts.forEach((count, expert) => {
      const isHot = this.hotRank === null || expert % ranks === this.hotRank;
      this.#counts[expert] = count + (isHot ? hotChoices : coldChoices);
    });
    for (const way of this.ways) {
      way.counts = [...this.#counts];
    }
  }

  #createLead(term: number): GroupConductor {
    const clock = { monotonicMs: () => this.group.nowMs, wallMs: () => this.group.nowMs };
    return new GroupConductor({
      group: "g",
      figures,
      term,
      fences: FenceNumbers.ofTerm(term),
      getGapObjectiveMs: () => 0,
      activate: () => Promise.resolve(false),
      clock,
      metrics: new CoordinatorMetrics(),
      logger: createLogger("test", {}),
    });
  }
}

async function startWorld(): Promise<DemandWorld> {
  const world = new DemandWorld();
  await world.run(warmUpMs);
  return world;
}

// Guards against a group without new maps for as long as the process beside one of its ranks is down.
t.test("a map comes into force while the process beside a rank is silent", async (t) => {
  const world = await startWorld();
  world.ways[3]!.isSilent = true;
  world.hotRank = 0;
  await world.run(planMs);
  t.ok(Math.min(...world.versions) > 0, `versions ${world.versions.join()}`);
  t.equal(world.group.mixedPasses, 0);
});

// Guards against a shift of demand that is not followed while many processes restart, the one beside the holding rank too.
t.test("a shift is followed while a quarter of the rankers is silent", async (t) => {
  const world = await startWorld();
  world.hotRank = 0;
  await world.run(planMs);
  const before = Math.max(...world.versions);
  t.ok(before > 0);
  world.ways[0]!.isSilent = true;
  world.ways[5]!.isSilent = true;
  world.hotRank = 2;
  await world.run(planMs);
  t.ok(Math.min(...world.versions) > before, `versions ${world.versions.join()} after ${before}`);
  t.equal(world.group.mixedPasses, 0);
});

// Guards against direct reads at each look, which are priced, of a group that needs no other map.
t.test("ranks are not read directly while no plan pays", async (t) => {
  const world = await startWorld();
  world.ways[3]!.isSilent = true;
  await world.run(planMs);
  t.equal(world.directInspections, 0);
});

// Guards against direct reads at each look for a map that takes long to copy.
t.test("the ranks are read directly a few times for each map", async (t) => {
  const world = await startWorld();
  world.ways[3]!.isSilent = true;
  world.hotRank = 0;
  await world.run(planMs);
  t.ok(Math.min(...world.versions) > 0);
  t.ok(world.directInspections <= 12, `${world.directInspections} direct reads`);
});

// Guards against a map that is planned for a rank that is gone: its group forms again without any map.
t.test("nothing is planned while a rank answers nobody", async (t) => {
  const world = await startWorld();
  world.hotRank = 0;
  const way = world.ways[3]!;
  let reads = 0;
  way.isSilent = true;
  way.inspectDirectly = () => {
    reads += 1;
    return Promise.resolve(null);
  };
  await world.run(planMs);
  t.ok(reads > 0 && reads <= 3, `${reads} direct reads`);
  t.ok(world.group.ranks.every(({ preparing, preparedVersion }) => !preparing && preparedVersion === null));
  world.group.form();
  way.isSilent = false;
  await world.run(planMs);
  t.ok(Math.min(...world.versions) > 0, "the group that has formed again gets its map");
  t.equal(world.group.mixedPasses, 0);
});

// Guards against a new lead that cannot plan from the map in force, as the lists of one rank are missing.
t.test("a new lead reads the lists of a silent ranker's rank directly", async (t) => {
  const world = await startWorld();
  world.hotRank = 0;
  await world.run(planMs);
  const before = Math.max(...world.versions);
  t.ok(before > 0);
  world.ways[5]!.isSilent = true;
  world.hotRank = 2;
  world.replaceLead(3);
  await world.run(planMs);
  t.ok(Math.min(...world.versions) > before, `versions ${world.versions.join()} after ${before}`);
  t.equal(world.group.mixedPasses, 0);
});
