import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { CoordinatorFleet } from "./CoordinatorFleet";
import { createSyncRequest } from "./createSyncRequest";
import { createTargetRecord } from "./createTargetRecord";

// Reached only when the test hangs.
t.setTimeout(120_000);

const limitMs = 8000;
/** Several exchanges of registries. */
const spreadMs = 700;
/** Age from which a coordinator answers for targets that it does not know. */
const completeAfterMs = 3500;
const all = [0, 1, 2];

function target(id: string, fields: Partial<TargetRecord> = {}): TargetRecord {
  return createTargetRecord({ id, address: `${id}:1`, bornMs: Date.now() - 60_000, sequence: 5, ...fields });
}

async function register(fleet: CoordinatorFleet, record: TargetRecord, indexes = all): Promise<void> {
  for (const index of indexes) {
    await waitUntil(
      `coordinator ${index} acknowledges ${record.id}`,
      async () => ((await fleet.coordinators[index]?.registerTarget(record)) === true ? true : null),
      limitMs,
    );
  }
}

async function restartAll(fleet: CoordinatorFleet): Promise<void> {
  await Promise.all(all.map((index) => fleet.stop(index)));
  await Promise.all(all.map((index) => fleet.open(index, false)));
}

function listOpen(fleet: CoordinatorFleet, index: number): string[] {
  const listed = fleet.coordinators[index]?.targets.list(performance.now()) ?? [];
  return listed.filter(({ isDraining }) => !isDraining).map(({ id, bornMs }) => `${id} ${bornMs}`);
}

// Guards against a restart that forgets an acknowledged end, so that a late heartbeat brings the target back.
t.test("an acknowledged end outlives restarts of all coordinators", async (t) => {
  const fleet = await CoordinatorFleet.start(3);
  t.teardown(() => fleet.close());
  const [gone, drained] = [target("gone"), target("drained")];
  await register(fleet, gone);
  await register(fleet, drained);
  t.equal(await fleet.coordinators[1]?.removeTarget("gone"), true);
  t.equal(await fleet.coordinators[2]?.registerTarget({ ...drained, sequence: 6, isDraining: true }), true);
  await restartAll(fleet);
  await restartAll(fleet);
  await register(fleet, target("other"));
  for (const index of all) {
    await register(fleet, { ...gone, sequence: 4 }, [index]);
    await register(fleet, { ...drained, sequence: 4 }, [index]);
  }
  const { targets } = await fleet.sync(0, createSyncRequest());
  t.match(
    targets?.find(({ id }) => id === "gone"),
    { isGone: true, bornMs: gone.bornMs },
    "no gateway keeps it",
  );
  await delay(spreadMs);
  for (const index of all) {
    t.notMatch(listOpen(fleet, index).join(), /gone|drained/);
  }
  const next = target("gone", { bornMs: gone.bornMs + 1, sequence: 1 });
  await register(fleet, next, [0]);
  t.ok(listOpen(fleet, 0).includes(`gone ${next.bornMs}`), "the next incarnation is used at once");
});

// Guards against a majority that forgets an end because its members restart in turn.
t.test("an acknowledged end outlives restarts in turn", async (t) => {
  const fleet = await CoordinatorFleet.start(3);
  t.teardown(() => fleet.close());
  const gone = target("gone");
  await register(fleet, gone);
  t.equal(await fleet.coordinators[0]?.removeTarget("gone"), true);
  for (const index of all) {
    await fleet.stop(index);
    await fleet.open(index, false);
    await delay(100);
  }
  await register(fleet, gone);
  await delay(spreadMs);
  t.same(
    all.map((index) => listOpen(fleet, index)),
    [[], [], []],
  );
});

// Guards against an acknowledged removal that leaves nothing behind, and against one that refuses the next incarnation.
t.test("the removal of an unknown target refuses its late heartbeat", async (t) => {
  const fleet = await CoordinatorFleet.start(3);
  t.teardown(() => fleet.close());
  await register(fleet, target("other"));
  await delay(completeAfterMs);
  t.equal(await fleet.coordinators[0]?.removeTarget("silent"), true);
  t.equal(await fleet.coordinators[0]?.removeTarget("short"), true);
  await register(fleet, target("silent"));
  t.notMatch(listOpen(fleet, 0).join(), /silent/);
  await restartAll(fleet);
  await register(fleet, target("silent"));
  await delay(spreadMs);
  t.notMatch(all.flatMap((index) => listOpen(fleet, index)).join(), /silent/);
  const slowClock = target("silent", { bornMs: Date.now() - 4500 + spreadMs, sequence: 1 });
  await register(fleet, slowClock, [1]);
  await register(fleet, target("short", { bornMs: Date.now(), sequence: 1 }), [1]);
  t.match(listOpen(fleet, 1).join(), /silent.*short/, "also with a clock that is seconds behind");
});

// Guards against a coordinator that uses heartbeats before it has read which ends were acknowledged.
t.test(
  "a coordinator that has just started passes nothing on until it knows the recorded ends",
  async (t) => {
    const fleet = await CoordinatorFleet.start(3);
    t.teardown(() => fleet.close());
    const [gone, kept] = [target("gone"), target("kept")];
    await register(fleet, gone, [0]);
    t.equal(await fleet.coordinators[0]?.removeTarget("gone"), true);
    await Promise.all(all.map((index) => fleet.stop(index)));
    await fleet.open(0, false);
    t.equal(await fleet.coordinators[0]?.registerTarget(gone), false);
    t.equal(await fleet.coordinators[0]?.registerTarget(kept), false);
    t.equal(await fleet.coordinators[0]?.removeTarget("gone"), false);
    const { targets, isComplete } = await fleet.sync(0, createSyncRequest());
    t.same([targets, isComplete], [[], false]);
    await Promise.all([fleet.open(1, false), fleet.open(2, false)]);
    await waitUntil(
      "the early heartbeat is used",
      () => (listOpen(fleet, 0).length > 0 ? true : null),
      limitMs,
    );
    t.same(listOpen(fleet, 0), [`kept ${kept.bornMs}`]);
  },
);

// Guards against a disk that syncs for each heartbeat of a draining target, and against an entry of the log for each of many ends.
t.test("repeated reports write nothing, and ends that come together share entries", async (t) => {
  const fleet = await CoordinatorFleet.start(3);
  t.teardown(() => fleet.close());
  const ids = Array.from({ length: 200 }, (_, at) => `t-${at}`);
  await register(fleet, target("other"));
  const getIndex = (): number => fleet.coordinators[fleet.leader]?.getStatus().commitIndex ?? 0;
  await Promise.all(ids.map((id) => register(fleet, target(id))));
  const beforeAll = getIndex();
  const answers = await Promise.all(ids.map(async (id, at) => fleet.coordinators[at % 3]?.removeTarget(id)));
  t.same(
    ids.filter((_, at) => answers[at] !== true),
    [],
  );
  t.ok(getIndex() - beforeAll <= 20, `entries of 200 removals: ${getIndex() - beforeAll}`);
  const draining = target("d", { isDraining: true });
  await register(fleet, draining);
  await delay(spreadMs);
  const beforeRepeats = getIndex();
  for (let sequence = 7; sequence < 40; sequence += 1) {
    t.equal(await fleet.coordinators[sequence % 3]?.registerTarget({ ...draining, sequence }), true);
  }
  t.ok(getIndex() - beforeRepeats <= 2, `entries of repeated heartbeats: ${getIndex() - beforeRepeats}`);
});
