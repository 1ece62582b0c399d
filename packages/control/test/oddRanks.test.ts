import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { createLogger } from "@clementinemux/logging/createLogger";
import type { RankClient } from "@clementinemux/ranker/RankClient";
import { Ranker } from "@clementinemux/ranker/Ranker";
import type { RouteTable } from "@clementinemux/routes/RouteTable";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { RankGroupManager } from "../ranks/RankGroupManager";
import { CoordinatorMetrics } from "../routes/CoordinatorMetrics";
import { createCoordinatorErrors } from "../routes/createCoordinatorErrors";
import { createTargetRecord } from "./createTargetRecord";
import { expertParameters as experts } from "./expertParameters";

const logger = createLogger("test", {});
const clock = new SystemClock();
const unusableAddress = "127.0.0.8:9";

// Guards against one heartbeat, with an IPv6 address or any other that causes an exception, that stops the steps of all groups.
t.test("an entry that causes an exception does not stop the inspection of the others", async (t) => {
  const silent = (): Promise<null> => Promise.resolve(null);
  const rank: RankClient = {
    ...{
      inspectState: silent,
      readPreparedExperts: silent,
      readActiveExperts: silent,
      readMembership: silent,
    },
    order: () => Promise.resolve(true),
    inspect: () =>
      Promise.resolve({
        ...{ group: "g", size: 1, pace: 3, counts: [], experts: null, preparedDigest: null },
        state: {
          ...{ rank: 0, epoch: 1, isOpen: true, step: 1, mapVersion: 0 },
          ...{ preparedVersion: null, armed: null, heldStep: null },
        },
      }),
  };
  const [framePort = 0] = await findFreePorts(1);
  const ranker = new Ranker({ host: "127.0.0.1", framePort, metricsPort: null, clock, rank, logger });
  await ranker.start();
  const links = new PeerLinks(undefined);
  t.teardown(async () => {
    links.close();
    await ranker.close();
  });
  const service = { name: "s", healthPath: "/", engine: { slots: 8, stepMs: 5, stride: 4, experts } };
  const table = { findService: () => service, getGapObjectiveMs: () => 0 } as unknown as RouteTable;
  const paces = new Map<string, number>();
  const errors = createCoordinatorErrors(logger);
  const manager = new RankGroupManager({
    ...{ framePort, links, errors, clock, logger, metrics: new CoordinatorMetrics() },
    getTable: () => table,
    listTargets: () => [
      createTargetRecord({ id: "odd-1", address: "[::1]:9", slots: 8 }),
      createTargetRecord({ id: "odd-2", address: unusableAddress, slots: 8 }),
      createTargetRecord({ id: "t-0", address: "127.0.0.1:9", slots: 8 }),
    ],
    getTerm: () => 2,
    openRank: (address) => {
      if (address === unusableAddress) {
        throw new RangeError("unusable address");
      }
      return rank;
    },
    activate: () => Promise.resolve(false),
    recordSlowdown: (id, pace) => paces.set(id, pace),
  });
  await manager.step();
  t.equal(paces.get("t-0"), 3);
  t.match(
    errors.render(),
    'clementinemux_coordinator_handler_errors{handler="ranks"} 1\n',
    "the IPv6 address is no error",
  );
});
