import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { EvacuationOutcome } from "@clementinemux/control/evacuation/EvacuationOutcome";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { CoordinatorFleet } from "./CoordinatorFleet";
import { VolatileDisk } from "./VolatileDisk";
import { createSyncRequest } from "./createSyncRequest";

// Reached only when the test hangs.
t.setTimeout(120_000);

const limitMs = 15_000;
/** Age from which a coordinator knows all targets. */
const completeAfterMs = 3500;
const { Acknowledged, Unavailable, UnknownFailureDomain } = EvacuationOutcome;

function isTrue(condition: boolean): true | null {
  return condition ? true : null;
}

async function change(
  fleet: CoordinatorFleet,
  index: number,
  failureDomain: string,
  isEvacuated: boolean,
): Promise<EvacuationOutcome | undefined> {
  return fleet.coordinators[index]?.evacuations.change({ failureDomain, isEvacuated }, () => true);
}

/** Calls coordinators in turn until one acknowledges, as an operator does. */
async function changeByAny(
  fleet: CoordinatorFleet,
  first: number,
  failureDomain: string,
  isEvacuated: boolean,
): Promise<void> {
  let index = first;
  await waitUntil(
    "the call is acknowledged",
    async () => {
      const outcome = await change(fleet, index, failureDomain, isEvacuated);
      index = (index + 1) % fleet.coordinators.length;
      return isTrue(outcome === Acknowledged);
    },
    limitMs,
  );
}

/** Waits until all coordinators tell gateways the given failure domains, with the same revision. */
async function expectAtAll(fleet: CoordinatorFleet, failureDomains: readonly string[]): Promise<void> {
  const isSame = async (): Promise<true | null> => {
    const answers = await Promise.all(
      fleet.coordinators.map((_, index) => fleet.sync(index, createSyncRequest())),
    );
    const states = new Set(
      answers.map(({ ageMs, evacuated }) => JSON.stringify([ageMs !== null, evacuated])),
    );
    const told = answers[0]?.evacuated?.failureDomains;
    return isTrue(states.size === 1 && JSON.stringify(told) === JSON.stringify(failureDomains));
  };
  await waitUntil(`all tell ${failureDomains.join(", ")}`, isSame, limitMs);
}

// Guards against an acknowledged evacuation that is lost with the disks that held it.
t.test("an evacuation and its end outlive two lost disks each", async (t) => {
  const fleet = await CoordinatorFleet.start(6, { seedCount: 3, targetVoters: 5 });
  t.teardown(() => fleet.close());
  const countVoters = (): number => fleet.coordinators[fleet.leader]?.getStatus().voters ?? 0;
  const listVoters = (): number[] =>
    [...fleet.coordinators.keys()].filter((index) => fleet.coordinators[index]?.getStatus().isVoter === true);
  // The membership names a lost replica until it is replaced; with two more lost before that, no majority is left.
  const hasFiveLiveVoters = (): true | null => isTrue(countVoters() === 5 && listVoters().length === 5);
  for (const isEvacuated of [true, false]) {
    await waitUntil("five voters are live", hasFiveLiveVoters, limitMs);
    await changeByAny(fleet, (fleet.leader + 1) % 6, "d-5", isEvacuated);
    const { leader } = fleet;
    const lost = [leader, listVoters().find((index) => index !== leader) ?? 0];
    await Promise.all(lost.map((index) => fleet.stop(index)));
    lost.forEach((index) => {
      fleet.wipe(index);
    });
    await Promise.all(lost.map((index) => fleet.open(index, false)));
    await expectAtAll(fleet, isEvacuated ? ["d-5"] : []);
    await waitUntil("the lost voters are replaced", hasFiveLiveVoters, limitMs);
  }
});

// Guards against an acknowledgement before the change is on the disks of a majority.
t.test("an evacuation and its end outlive a power loss of everything right after the call", async (t) => {
  const disk = new VolatileDisk();
  const fleet = await CoordinatorFleet.start(3, { disk });
  t.teardown(() => fleet.close());
  for (const isEvacuated of [true, false, true]) {
    await changeByAny(fleet, 0, "d-1", isEvacuated);
    disk.cutPower();
    await Promise.all([0, 1, 2].map((index) => fleet.stop(index)));
    [0, 1, 2].forEach((index) => {
      disk.restorePower(fleet.getFolder(index));
    });
    await Promise.all([0, 1, 2].map((index) => fleet.open(index, false)));
    await expectAtAll(fleet, isEvacuated ? ["d-1"] : []);
  }
});

// Guards against a change that is acknowledged and lost, or made at some replicas only, when a leader is replaced.
t.test("calls during a change of the leader", async (t) => {
  const fleet = await CoordinatorFleet.start(3);
  t.teardown(() => fleet.close());
  await changeByAny(fleet, 0, "d-0", true);
  const { leader } = fleet;
  const lost = change(fleet, leader, "d-0", false);
  await fleet.stop(leader);
  await changeByAny(fleet, (leader + 1) % 3, "d-0", false);
  await changeByAny(fleet, (leader + 2) % 3, "d-0", true);
  await lost;
  await fleet.open(leader, false);
  await expectAtAll(fleet, ["d-0"]);
});

// Guards against one operator's change that is undone by another one's, which was based on an earlier state.
t.test("changes of several operators at once are all made", async (t) => {
  const fleet = await CoordinatorFleet.start(3);
  t.teardown(() => fleet.close());
  await changeByAny(fleet, 0, "d-2", true);
  await Promise.all([
    changeByAny(fleet, 0, "d-0", true),
    changeByAny(fleet, 1, "d-1", true),
    changeByAny(fleet, 2, "d-2", false),
  ]);
  await expectAtAll(fleet, ["d-0", "d-1"]);
});

// Guards against an evacuation that is refused for good by a coordinator that has not heard of the failure domain yet.
t.test("unknown failure domains, and no leader", async (t) => {
  const fleet = await CoordinatorFleet.start(3);
  t.teardown(() => fleet.close());
  await changeByAny(fleet, 0, "d-0", true);
  t.equal(await change(fleet, 1, "none", true), Unavailable, "not all targets are known yet");
  await delay(completeAfterMs);
  t.equal(await change(fleet, 1, "none", true), UnknownFailureDomain);
  t.equal(await change(fleet, 2, "none", false), UnknownFailureDomain);
  t.equal(await change(fleet, 2, "", true), UnknownFailureDomain);
  await Promise.all([1, 2].map((index) => fleet.stop(index)));
  await delay(1000);
  t.equal(await change(fleet, 0, "d-1", true), Unavailable);
  t.equal(fleet.coordinators[0]?.getStatus().role === "leader", false);
  await Promise.all([1, 2].map((index) => fleet.open(index, false)));
  await expectAtAll(fleet, ["d-0"]);
  await fleet.stop(1);
  t.equal(await change(fleet, 0, "d-1", true), Acknowledged, "a failure domain that has just been cut off");
});
