import t from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { createRandom } from "@clementinemux/common/createRandom";
import { ControlSettings } from "@clementinemux/control/ControlSettings";
import { GroupHost } from "@clementinemux/control/GroupHost";
import { RouteStateMachine } from "@clementinemux/control/routes/RouteStateMachine";
import { createLogger } from "@clementinemux/logging/createLogger";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { MessageName } from "@clementinemux/wire/MessageName";
import { PeerLinks } from "@clementinemux/wire/PeerLinks";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import { CoordinatorFleet } from "./CoordinatorFleet";
import { findFreePorts } from "@clementinemux/system/findFreePorts";

const limitMs = 15_000;
const domain = { service: "s", address: "h:1", failureDomain: "d", slots: 1 };
const state = { isDraining: false, isLeaving: false, isGone: false, bornMs: 1 };

t.setTimeout(120_000);

function isTrue(condition: boolean): true | null {
  return condition ? true : null;
}

function bytes(text: string): Uint8Array {
  return Buffer.from(text);
}

function countVoters(fleet: CoordinatorFleet): number {
  return fleet.coordinators[fleet.leader]?.getStatus().voters ?? 0;
}

function listVoters(fleet: CoordinatorFleet): number[] {
  return [...fleet.coordinators.keys()].filter(
    (index) => fleet.coordinators[index]?.getStatus().isVoter === true,
  );
}

async function submit(fleet: CoordinatorFleet, index: number, version: number): Promise<void> {
  await waitUntil(
    `version ${version} is accepted`,
    async () => {
      await fleet.coordinators[index]?.submitDocument({ version, bytes: bytes(`${version}`) });
      return true;
    },
    limitMs,
  );
}

// Guards against a log that keeps only the three voters it was created with, although six replicas exist and
// two may be lost at once.
t.test("six replicas with five voters tolerate two lost disks, twice", async (t) => {
  const fleet = await CoordinatorFleet.start(6, { seedCount: 3, targetVoters: 5 });
  await waitUntil("five voters are there", () => isTrue(countVoters(fleet) === 5), limitMs);
  for (const version of [1, 2]) {
    const { leader } = fleet;
    await submit(fleet, leader, version);
    const other = listVoters(fleet).find((index) => index !== leader) ?? 0;
    const lost = [leader, other];
    await Promise.all(lost.map((index) => fleet.stop(index)));
    for (const index of lost) {
      fleet.wipe(index);
    }
    await Promise.all(lost.map((index) => fleet.open(index, false)));
    for (const [index, coordinator] of fleet.coordinators.entries()) {
      const read = await waitUntil(`replica ${index} reads`, () => coordinator.readDocument(), limitMs);
      t.equal(read.version, version, "guards against an acknowledged change that is lost");
    }
    await waitUntil(
      "five voters, none of them a lost disk",
      () => isTrue(countVoters(fleet) === 5 && listVoters(fleet).length === 5),
      limitMs,
    );
  }
  await fleet.close();
});

t.test("replicas without a disk forward requests and never vote", async (t) => {
  const diskless = [0, 4];
  const fleet = await CoordinatorFleet.start(5, { seedCount: 3, diskless });
  const hasThree = (): true | null => isTrue(countVoters(fleet) === 3 && listVoters(fleet).length === 3);
  await waitUntil("three voters are there", hasThree, limitMs);
  t.same(listVoters(fleet), [1, 2, 3], "guards against a log that is created with a replica without a disk");
  await submit(fleet, 0, 1);
  t.equal((await fleet.coordinators[4]?.readDocument())?.version, 1);
  await waitUntil(
    "the learner has the document",
    () => isTrue(fleet.coordinators[4]?.getStatus().documentVersion === 1),
    limitMs,
  );
  await fleet.stop(0);
  await fleet.open(0, false);
  await waitUntil(
    "the learner has the document again after a restart",
    () => isTrue(fleet.coordinators[0]?.getStatus().documentVersion === 1),
    limitMs,
  );
  t.same(listVoters(fleet), [1, 2, 3]);
  await Promise.all([1, 2].map((index) => fleet.stop(index)));
  const drained = { ...domain, ...state, id: "t-1", isDraining: true, sequence: 1 };
  t.equal(
    await fleet.coordinators[3]?.registerTarget(drained),
    false,
    "guards against a drain that only replicas without a disk confirm",
  );
  await fleet.close();
});

// Guards against an error, and a group created twice, when responses of one round arrive after the next has
// begun.
t.test("overlapping bootstrap rounds create a group once", async (t) => {
  const [port = 0] = await findFreePorts(1);
  const address = `127.0.0.1:${port}`;
  const values = { name: "c-0", host: "127.0.0.1", port, failureDomain: "d-0", region: "r" };
  const settings = ControlSettings.parse({ ...values, replicas: [address], bootstrap: true });
  const links = new PeerLinks(undefined);
  const host = new GroupHost({
    settings,
    links,
    clock: new SystemClock(),
    random: createRandom(1),
    logger: createLogger("test", {}),
    onFatal: (error) => {
      throw error;
    },
  });
  const folder = t.testdir();
  const group = await host.open("routes", new RouteStateMachine(), () => undefined, folder);
  const server = new RpcServer({
    handlers: { [MessageName.ReplicaInfo]: () => host.getInfo("routes") },
    onRefused: () => undefined,
  });
  await server.listen("127.0.0.1", port);
  await t.resolves(Promise.all([host.bootstrap(), host.bootstrap()]));
  await waitUntil(
    "the group is stored",
    () => {
      host.tick();
      return isTrue(group.core.commitIndex >= 1);
    },
    limitMs,
  );
  links.close();
  await server.close();
});
