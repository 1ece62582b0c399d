import type { Logger } from "roarr";
import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { FenceNumbers } from "@clementinemux/experts/hold/FenceNumbers";
import { HeldGroup } from "@clementinemux/experts/test/HeldGroup";
import { MapVersions } from "@clementinemux/experts/hold/MapVersions";
import { createLogger } from "@clementinemux/logging/createLogger";
import { LogRecorder } from "@clementinemux/logging/test/LogRecorder";
import type { ActivateRequest } from "@clementinemux/ranker/ActivateRequest";
import { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import { Ranker } from "@clementinemux/ranker/Ranker";
import type { RouteTable } from "@clementinemux/routes/RouteTable";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { Conductor } from "../ranks/Conductor";
import { GroupConductor } from "../ranks/GroupConductor";
import { CoordinatorMetrics } from "../routes/CoordinatorMetrics";
import { HeldRankWay } from "./HeldRankWay";
import { expertFigures as figures } from "./expertFigures";

const logger = createLogger("test", {});
/** Version of the first plan of a lead of term 2. */
const firstVersion = new MapVersions(2).take(0) ?? 0;

function createClock(group: HeldGroup) {
  return { monotonicMs: () => group.nowMs, wallMs: () => group.nowMs };
}

function createLead(
  group: HeldGroup,
  activate: (request: ActivateRequest) => Promise<boolean> = () => Promise.resolve(false),
  log: Logger = logger,
  fences = FenceNumbers.ofTerm(2),
): GroupConductor {
  const clock = createClock(group);
  const metrics = new CoordinatorMetrics();
  const getters = { term: 2, fences, getGapObjectiveMs: () => 0, activate };
  return new GroupConductor({ group: "g", figures, ...getters, clock, metrics, logger: log });
}

async function look(lead: GroupConductor, ways: readonly HeldRankWay[]): Promise<void> {
  await lead.step(ways, await Promise.all(ways.map((way) => way.inspect(2, InspectionPart.Counts))));
}

/** Looks at a group whose requests choose few experts until `isDone`, or for 30 rounds. */
async function lookUntil(
  lead: GroupConductor,
  group: HeldGroup,
  ways: readonly HeldRankWay[],
  isDone: () => boolean,
): Promise<void> {
  const counts = [0, 0, 0, 0, 0, 0, 0, 0];
  for (let round = 0; round < 30 && !isDone(); round += 1) {
    counts.forEach((_, expert) => {
      counts[expert] = (counts[expert] ?? 0) + (expert % 4 === 0 ? 9000 : 100);
    });
    ways[0]!.counts = [...counts];
    await look(lead, ways);
    group.advance(30);
  }
}

// Guards against a new lead that reads the placement of all ranks while its predecessor's hold stops their group, and
// against one that arms a map of which it knows the version alone.
t.test("a new lead ends what was begun before it reads anything else", async (t) => {
  const group = new HeldGroup({ ranks: 4, random: createRandom(1), lateShare: 0 });
  const ways = group.ranks.map((_, rank) => new HeldRankWay(group, rank));
  for (const [rank, way] of ways.entries()) {
    Object.assign(group.ranks[rank] ?? {}, { mapVersion: 3, preparedVersion: 4, highestVersion: 4 });
    way.hidesExperts = true;
  }
  Object.assign(group.ranks[0] ?? {}, { heldStep: 1 });
  group.advance(200);
  t.ok(group.heldPasses > 0);
  void look(createLead(group), ways);
  await new Promise(setImmediate);
  group.advance(100);
  t.equal(group.ranks[0]?.heldStep, null);
  t.ok((group.ranks[0]?.step ?? 0) > 0, "the group goes on");
  t.ok(group.ranks.every(({ mapVersion, armed }) => mapVersion === 3 && armed === null));
  t.equal(group.mixedPasses, 0);
});

// Guards against a lead that waits for ever for a process that does not answer, and against orders of both at once.
t.test("a lead hands an activation over, and gives the orders itself when that fails", async (t) => {
  const group = new HeldGroup({ ranks: 4, random: createRandom(1), lateShare: 0 });
  const ways = group.ranks.map((_, rank) => new HeldRankWay(group, rank));
  const handedOver: ActivateRequest[] = [];
  const lead = createLead(group, (request) => {
    handedOver.push(request);
    return Promise.resolve(false);
  });
  await lookUntil(lead, group, ways, () => group.ranks.every(({ mapVersion }) => mapVersion > 0));
  const fence = FenceNumbers.ofTerm(2).handOver() + 1;
  t.match(handedOver, [{ fence, version: firstVersion, epoch: 1, places: [{ address: "rank-0:1" }] }]);
  t.equal(handedOver.length, 1);
  t.ok(group.ranks.every(({ mapVersion, heldStep }) => mapVersion === firstVersion && heldStep === null));
  t.equal(group.mixedPasses, 0);
});

// Guards against a rank that refuses all orders of its new group, since the same lead's orders had higher fences before.
t.test("a rank that comes from another group takes the orders of its lead", async (t) => {
  const group = new HeldGroup({ ranks: 4, random: createRandom(1), lateShare: 0 });
  const ways = group.ranks.map((_, rank) => new HeldRankWay(group, rank));
  const fences = FenceNumbers.ofTerm(2);
  Object.assign(group.ranks[2] ?? {}, { highestFence: fences.raise(fences.raise(fences.floor)) });
  const lead = createLead(group, () => Promise.resolve(false), logger, fences);
  await lookUntil(lead, group, ways, () => group.ranks.every(({ mapVersion }) => mapVersion > 0));
  t.ok(group.ranks.every(({ mapVersion }) => mapVersion === firstVersion));
});

// Guards against two maps under one version that cannot be told apart, nor their leads, in the logs.
t.test("the lines of a map name its lead and its content", async (t) => {
  const group = new HeldGroup({ ranks: 4, random: createRandom(1), lateShare: 0 });
  const ways = group.ranks.map((_, rank) => new HeldRankWay(group, rank));
  const log = new LogRecorder();
  const lead = createLead(group, () => Promise.resolve(false), log.logger);
  await lookUntil(lead, group, ways, () => log.find("map in force").length > 0);
  const [planned] = log.find("map planned");
  t.match(planned?.context.digest, /^[0-9a-f]{8}$/);
  const context = { group: "g", version: firstVersion, epoch: 1, term: 2, digest: planned?.context.digest };
  for (const event of ["map planned", "map handed over", "map in force"]) {
    t.match(log.find(event), [{ level: "info", context }], event);
  }
  t.same(log.find("map abandoned"), []);
});

t.test("the line of an abandoned map names its lead and its content", async (t) => {
  const group = new HeldGroup({ ranks: 4, random: createRandom(1), lateShare: 0 });
  const ways = group.ranks.map((_, rank) => new HeldRankWay(group, rank));
  const log = new LogRecorder();
  const lead = createLead(group, () => Promise.resolve(false), log.logger);
  await lookUntil(lead, group, ways, () => log.find("map planned").length > 0);
  const [planned] = log.find("map planned");
  group.form();
  group.advance(30);
  await look(lead, ways);
  const context = { group: "g", version: firstVersion, epoch: 1, term: 2, digest: planned?.context.digest };
  t.match(log.find("map abandoned"), [{ level: "warn", context }]);
  t.type(planned?.context.digest, "string");
});

// Guards against direct inspections, which are priced, of a group that is merely between two passes.
t.test("a silent neighbour is passed by only when the group may be held", async (t) => {
  const group = new HeldGroup({ ranks: 4, random: createRandom(1), lateShare: 0 });
  const ways = group.ranks.map((_, rank) => new HeldRankWay(group, rank));
  const lead = createLead(group);
  const [, way] = ways;
  group.advance(70);
  await look(lead, ways);
  way!.isSilent = true;
  for (let round = 0; round < 40; round += 1) {
    group.advance(30);
    await look(lead, ways);
  }
  t.equal(way?.directInspections, 0);
  group.ranks[0]!.heldStep = group.ranks[0]!.step + 1;
  ways[0]!.isSilent = true;
  for (let round = 0; round < 8; round += 1) {
    group.advance(30);
    await look(lead, ways);
  }
  t.ok((way?.directInspections ?? 0) > 0);
  t.equal(group.ranks[0]?.heldStep, null);
});

// Guards against a lead that goes on looking at all ranks every 30 ms for a group that is no more.
t.test("a group that has vanished does not set the pace of the looks", async (t) => {
  const group = new HeldGroup({ ranks: 2, random: createRandom(1), lateShare: 0 });
  const clock = new SystemClock();
  const [framePort = 0] = await findFreePorts(1);
  const counts = [[0, 0, 0, 0, 0, 0, 0, 0], new Array<number>(8).fill(0)];
  let isThere = true;
  const rankers = group.ranks.map((_, rank) => {
    const way = new HeldRankWay(group, rank);
    const client = {
      inspect: async () => {
        way.counts = counts[rank] ?? [];
        return isThere ? way.inspect(0, InspectionPart.Counts) : null;
      },
      inspectState: () => way.inspectDirectly(),
      readPrepared: () => Promise.resolve(null),
      readInForce: () => Promise.resolve(null),
      readMembership: () => Promise.resolve(null),
      // No order is carried out, so that the plan stays pending.
      order: () => Promise.resolve(null),
    };
    return new Ranker({
      host: `127.0.0.${rank + 1}`,
      framePort,
      metricsPort: null,
      clock,
      rank: client,
      logger,
    });
  });
  await Promise.all(rankers.map((ranker) => ranker.start()));
  const links = new PeerLinks(undefined);
  t.teardown(async () => {
    links.close();
    await Promise.all(rankers.map((ranker) => ranker.close()));
  });
  const service = {
    name: "s",
    healthPath: "/",
    engine: { slots: 8, stepMs: 5, stride: 4, experts: figures },
  };
  const table = { findService: () => service, getGapObjectiveMs: () => 0 } as unknown as RouteTable;
  const conductor = new Conductor({
    framePort,
    links,
    getTable: () => table,
    listTargets: () =>
      rankers.map((_, rank) => ({
        id: `t-${rank}`,
        service: "s",
        address: `127.0.0.${rank + 1}:9`,
        failureDomain: "fd-1",
        slots: 8,
        isDraining: false,
        isLeaving: false,
        isGone: false,
        bornMs: 1,
        sequence: 1,
      })),
    getTerm: () => 2,
    openRank: () => ({
      inspect: () => Promise.resolve(null),
      inspectState: () => Promise.resolve(null),
      readPrepared: () => Promise.resolve(null),
      readInForce: () => Promise.resolve(null),
      readMembership: () => Promise.resolve(null),
      order: () => Promise.resolve(null),
    }),
    activate: () => Promise.resolve(false),
    notePace: () => undefined,
    metrics: new CoordinatorMetrics(),
    clock,
    logger,
  });
  await conductor.step();
  counts[0] = [9000, 10, 9000, 10, 9000, 10, 10, 10];
  t.equal(await conductor.step(), 30, "a plan is pending");
  isThere = false;
  t.equal(await conductor.step(), 120);
});
