import type { Logger } from "roarr";
import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import { StandInGroup } from "@clementinemux/experts/test/StandInGroup";
import { MapVersionAllocator } from "@clementinemux/experts/hold/MapVersionAllocator";
import { createLogger } from "@clementinemux/logging/createLogger";
import { LogRecorder } from "@clementinemux/logging/test/LogRecorder";
import type { ActivateRequest } from "@clementinemux/ranker/ActivateRequest";
import { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import { Ranker } from "@clementinemux/ranker/Ranker";
import type { RouteTable } from "@clementinemux/routes/RouteTable";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { createCoordinatorErrors } from "../routes/createCoordinatorErrors";
import { RankGroupManager } from "../ranks/RankGroupManager";
import { GroupController } from "../ranks/GroupController";
import { CoordinatorMetrics } from "../routes/CoordinatorMetrics";
import { StandInRankChannel } from "./StandInRankChannel";
import { expertParameters as experts } from "./expertParameters";

const logger = createLogger("test", {});
/** Version of the first plan of a leader of term 2. */
const firstVersion = new MapVersionAllocator(2).allocate(0) ?? 0;

function createClock(group: StandInGroup) {
  return { monotonicMs: () => group.nowMs, wallMs: () => group.nowMs };
}

function createLeader(
  group: StandInGroup,
  activate: (request: ActivateRequest) => Promise<boolean> = () => Promise.resolve(false),
  log: Logger = logger,
  fences = FencingTokens.ofTerm(2),
): GroupController {
  const clock = createClock(group);
  const metrics = new CoordinatorMetrics();
  const getters = { term: 2, fences, getGapObjectiveMs: () => 0, activate };
  return new GroupController({ group: "g", parameters: experts, ...getters, clock, metrics, logger: log });
}

async function inspect(leader: GroupController, channels: readonly StandInRankChannel[]): Promise<void> {
  await leader.step(
    channels,
    await Promise.all(channels.map((channel) => channel.inspect(2, InspectionPart.Counts))),
  );
}

/** Inspects a group whose requests choose few experts until `isDone`, for at most 30 rounds. */
async function inspectUntil(
  leader: GroupController,
  group: StandInGroup,
  channels: readonly StandInRankChannel[],
  isDone: () => boolean,
): Promise<void> {
  const counts = [0, 0, 0, 0, 0, 0, 0, 0];
  for (let round = 0; round < 30 && !isDone(); round += 1) {
    counts.forEach((_, expert) => {
      counts[expert] = (counts[expert] ?? 0) + (expert % 4 === 0 ? 9000 : 100);
    });
    channels[0]!.counts = [...counts];
    await inspect(leader, channels);
    group.advance(30);
  }
}

// Guards against a new leader that reads the placement of all ranks while the group is still paused by its
// predecessor, and against one that arms a map of which it knows only the version.
t.test("a new leader ends an activation that was begun before it reads anything else", async (t) => {
  const group = new StandInGroup({ ranks: 4, random: createRandom(1), lateShare: 0 });
  const channels = group.ranks.map((_, rank) => new StandInRankChannel(group, rank));
  for (const [rank, channel] of channels.entries()) {
    Object.assign(group.ranks[rank] ?? {}, { mapVersion: 3, preparedVersion: 4, highestVersion: 4 });
    channel.withholdsExperts = true;
  }
  Object.assign(group.ranks[0] ?? {}, { heldStep: 1 });
  group.advance(200);
  t.ok(group.pausedPasses > 0);
  void inspect(createLeader(group), channels);
  await new Promise(setImmediate);
  group.advance(100);
  t.equal(group.ranks[0]?.heldStep, null);
  t.ok((group.ranks[0]?.step ?? 0) > 0, "the group continues");
  t.ok(group.ranks.every(({ mapVersion, armed }) => mapVersion === 3 && armed === null));
  t.equal(group.mixedPasses, 0);
});

// Guards against a leader that waits forever for a process that does not respond, and against orders of both
// at once.
t.test("a leader delegates an activation, and sends the orders itself when that fails", async (t) => {
  const group = new StandInGroup({ ranks: 4, random: createRandom(1), lateShare: 0 });
  const channels = group.ranks.map((_, rank) => new StandInRankChannel(group, rank));
  const handedOver: ActivateRequest[] = [];
  const leader = createLeader(group, (request) => {
    handedOver.push(request);
    return Promise.resolve(false);
  });
  await inspectUntil(leader, group, channels, () => group.ranks.every(({ mapVersion }) => mapVersion > 0));
  const fence = FencingTokens.ofTerm(2).reserve() + 1;
  t.match(handedOver, [{ fence, version: firstVersion, epoch: 1, places: [{ address: "rank-0:1" }] }]);
  t.equal(handedOver.length, 1);
  t.ok(group.ranks.every(({ mapVersion, heldStep }) => mapVersion === firstVersion && heldStep === null));
  t.equal(group.mixedPasses, 0);
});

// Guards against a rank that rejects all orders of its new group, since it has accepted higher fencing tokens
// of the same leader before.
t.test("a rank from another group accepts the orders of its leader", async (t) => {
  const group = new StandInGroup({ ranks: 4, random: createRandom(1), lateShare: 0 });
  const channels = group.ranks.map((_, rank) => new StandInRankChannel(group, rank));
  const fences = FencingTokens.ofTerm(2);
  Object.assign(group.ranks[2] ?? {}, {
    highestFence: fences.allocateAfter(fences.allocateAfter(fences.floor)),
  });
  const leader = createLeader(group, () => Promise.resolve(false), logger, fences);
  await inspectUntil(leader, group, channels, () => group.ranks.every(({ mapVersion }) => mapVersion > 0));
  t.ok(group.ranks.every(({ mapVersion }) => mapVersion === firstVersion));
});

// Guards against logs in which two maps of the same version, or their leaders, cannot be distinguished.
t.test("log lines of a map contain its term and digest", async (t) => {
  const group = new StandInGroup({ ranks: 4, random: createRandom(1), lateShare: 0 });
  const channels = group.ranks.map((_, rank) => new StandInRankChannel(group, rank));
  const log = new LogRecorder();
  const leader = createLeader(group, () => Promise.resolve(false), log.logger);
  await inspectUntil(leader, group, channels, () => log.find("map in force").length > 0);
  const [planned] = log.find("map planned");
  t.match(planned?.context.digest, /^[0-9a-f]{8}$/);
  const context = { group: "g", version: firstVersion, epoch: 1, term: 2, digest: planned?.context.digest };
  for (const event of ["map planned", "map handed over", "map in force"]) {
    t.match(log.find(event), [{ level: "info", context }], event);
  }
  t.same(log.find("map abandoned"), []);
});

t.test("the log line of an abandoned map contains its term and digest", async (t) => {
  const group = new StandInGroup({ ranks: 4, random: createRandom(1), lateShare: 0 });
  const channels = group.ranks.map((_, rank) => new StandInRankChannel(group, rank));
  const log = new LogRecorder();
  const leader = createLeader(group, () => Promise.resolve(false), log.logger);
  await inspectUntil(leader, group, channels, () => log.find("map planned").length > 0);
  const [planned] = log.find("map planned");
  group.recover();
  group.advance(30);
  await inspect(leader, channels);
  const context = { group: "g", version: firstVersion, epoch: 1, term: 2, digest: planned?.context.digest };
  t.match(log.find("map abandoned"), [{ level: "warn", context }]);
  t.type(planned?.context.digest, "string");
});

// Guards against direct inspections, which are charged for, of a group that is merely between two passes.
t.test("ranks of silent rankers are read directly only when the group may be paused", async (t) => {
  const group = new StandInGroup({ ranks: 4, random: createRandom(1), lateShare: 0 });
  const channels = group.ranks.map((_, rank) => new StandInRankChannel(group, rank));
  const leader = createLeader(group);
  const [, channel] = channels;
  group.advance(70);
  await inspect(leader, channels);
  channel!.isSilent = true;
  for (let round = 0; round < 40; round += 1) {
    group.advance(30);
    await inspect(leader, channels);
  }
  t.equal(channel?.directInspections, 0);
  group.ranks[0]!.heldStep = group.ranks[0]!.step + 1;
  channels[0]!.isSilent = true;
  for (let round = 0; round < 8; round += 1) {
    group.advance(30);
    await inspect(leader, channels);
  }
  t.ok((channel?.directInspections ?? 0) > 0);
  t.equal(group.ranks[0]?.heldStep, null);
});

// Guards against a leader that keeps inspecting all ranks every 30 ms for a group that no longer exists.
t.test("a vanished group does not set the inspection interval", async (t) => {
  const group = new StandInGroup({ ranks: 2, random: createRandom(1), lateShare: 0 });
  const clock = new SystemClock();
  const [framePort = 0] = await findFreePorts(1);
  const counts = [[0, 0, 0, 0, 0, 0, 0, 0], new Array<number>(8).fill(0)];
  let isThere = true;
  const rankers = group.ranks.map((_, rank) => {
    const channel = new StandInRankChannel(group, rank);
    const client = {
      inspect: async () => {
        channel.counts = counts[rank] ?? [];
        return isThere ? channel.inspect(0, InspectionPart.Counts) : null;
      },
      inspectState: () => channel.inspectDirectly(),
      readPreparedExperts: () => Promise.resolve(null),
      readActiveExperts: () => Promise.resolve(null),
      readMembership: () => Promise.resolve(null),
      // No order is executed, so that the plan stays pending.
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
    engine: { slots: 8, stepMs: 5, stride: 4, experts },
  };
  const table = { findService: () => service, getGapObjectiveMs: () => 0 } as unknown as RouteTable;
  const manager = new RankGroupManager({
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
      readPreparedExperts: () => Promise.resolve(null),
      readActiveExperts: () => Promise.resolve(null),
      readMembership: () => Promise.resolve(null),
      order: () => Promise.resolve(null),
    }),
    activate: () => Promise.resolve(false),
    recordSlowdown: () => undefined,
    metrics: new CoordinatorMetrics(),
    errors: createCoordinatorErrors(logger),
    clock,
    logger,
  });
  await manager.step();
  counts[0] = [9000, 10, 9000, 10, 9000, 10, 10, 10];
  t.equal(await manager.step(), 30, "a plan is pending");
  isThere = false;
  t.equal(await manager.step(), 120);
});
