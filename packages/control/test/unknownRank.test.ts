import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { StandInGroup } from "@clementinemux/experts/test/StandInGroup";
import { createLogger } from "@clementinemux/logging/createLogger";
import { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import type { RankClient } from "@clementinemux/ranker/RankClient";
import { Ranker } from "@clementinemux/ranker/Ranker";
import type { RouteTable } from "@clementinemux/routes/RouteTable";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { createCoordinatorErrors } from "../routes/createCoordinatorErrors";
import { RankGroupManager } from "../ranks/RankGroupManager";
import { CoordinatorMetrics } from "../routes/CoordinatorMetrics";
import { StandInRankChannel } from "./StandInRankChannel";
import { createTargetRecord } from "./createTargetRecord";
import { expertParameters as experts } from "./expertParameters";

const ranks = 2;
const silentRank = 1;
const passMs = 60;
const maxRounds = 40;
const logger = createLogger("test", {});

// Guards against a new leader that plans nothing until each ranker has responded once, because it does not
// know which ranks the silent ones belong to.
t.test("a new leader finds the rank of a ranker that has never responded", async (t) => {
  const group = new StandInGroup({ ranks, random: createRandom(1), lateShare: 0, passMs });
  const clock = { monotonicMs: () => group.nowMs, wallMs: () => group.nowMs };
  const channels = group.ranks.map((_, rank) => new StandInRankChannel(group, rank));
  const counts = [0, 0, 0, 0, 0, 0, 0, 0];
  let queries = 0;
  const createClient = (rank: number): RankClient => ({
    inspect: () => channels[rank]!.inspect(0, InspectionPart.Counts),
    inspectState: () => channels[rank]!.inspectDirectly(),
    readPreparedExperts: () => Promise.resolve(null),
    readActiveExperts: () => Promise.resolve(null),
    readMembership: () => {
      queries += 1;
      return Promise.resolve({ group: "g", rank });
    },
    order: (order, fence) => Promise.resolve(group.order(order, fence)),
  });
  const [framePort = 0] = await findFreePorts(1);
  const rank = createClient(0);
  const ranker = new Ranker({ host: "127.0.0.1", framePort, metricsPort: null, clock, rank, logger });
  await ranker.start();
  const links = new PeerLinks(undefined);
  t.teardown(async () => {
    links.close();
    await ranker.close();
  });
  const engine = { slots: 8, stepMs: 5, stride: 4, experts };
  const service = { name: "s", healthPath: "/", engine };
  const table = { findService: () => service, getGapObjectiveMs: () => 0 } as unknown as RouteTable;
  const manager = new RankGroupManager({
    framePort,
    links,
    getTable: () => table,
    listTargets: () =>
      group.ranks.map(({ rank: index }) =>
        createTargetRecord({ id: `t-${index}`, address: `127.0.0.${index + 1}:9`, slots: 8 }),
      ),
    getTerm: () => 2,
    openRank: (address) => createClient(address === `127.0.0.${silentRank + 1}:9` ? silentRank : 0),
    activate: () => Promise.resolve(false),
    recordSlowdown: () => undefined,
    metrics: new CoordinatorMetrics(),
    errors: createCoordinatorErrors(logger),
    clock,
    logger,
  });
  const isPrepared = () => group.ranks.every(({ preparedVersion }) => preparedVersion !== null);
  for (let round = 0; round < maxRounds && !isPrepared(); round += 1) {
    counts.forEach((count, expert) => {
      counts[expert] = count + (expert % ranks === 0 ? 9000 : 100);
    });
    channels[0]!.counts = [...counts];
    await manager.step();
    group.advance(passMs);
  }
  t.ok(isPrepared(), "both ranks have prepared a map");
  t.equal(queries, 1);
});
