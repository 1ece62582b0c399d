import { readFileSync, readdirSync, rmSync, truncateSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { waitUntil } from "@clementinemux/system/waitUntil";
import { CoordinatorFleet } from "./CoordinatorFleet";

const limitMs = 15_000;
/** Longer than an election and than the time after which a silent voter may be replaced. */
const watchMs = 4000;

t.setTimeout(120_000);

function isTrue(condition: boolean): true | null {
  return condition ? true : null;
}

async function submit(fleet: CoordinatorFleet, version: number): Promise<void> {
  await waitUntil(
    `version ${version} is accepted`,
    async () => {
      await fleet.coordinators[fleet.leader]?.submitDocument({ version, bytes: Buffer.from(`${version}`) });
      return isTrue(fleet.leader >= 0);
    },
    limitMs,
  );
}

async function startFleet(): Promise<CoordinatorFleet> {
  const fleet = await CoordinatorFleet.start(3);
  const hasVoters = (): true | null => isTrue(fleet.coordinators.every((one) => one.getStatus().isVoter));
  await waitUntil("three voters", hasVoters, limitMs);
  return fleet;
}

async function restartDamaged(fleet: CoordinatorFleet, indexes: readonly number[], damage: Damage) {
  await Promise.all(indexes.map((index) => fleet.stop(index)));
  for (const index of indexes) {
    damage(fleet.getFolder(index));
  }
  // As in the settings that the system was started with for the first time.
  await Promise.all(indexes.map((index) => fleet.open(index, true)));
}

type Damage = (folder: string) => void;

function getLogPath(folder: string): string {
  return join(folder, readdirSync(folder).find((name) => name.startsWith("log-")) ?? "");
}

const damages: Readonly<Record<string, Damage>> = {
  "identity missing": (folder) => {
    rmSync(join(folder, "identity"));
  },
  "identity empty": (folder) => {
    truncateSync(join(folder, "identity"));
  },
  "log missing": (folder) => {
    rmSync(getLogPath(folder));
  },
  "log without what was acknowledged last": (folder) => {
    const path = getLogPath(folder);
    truncateSync(path, readFileSync(path).length - 1);
  },
  "log with a flipped bit": (folder) => {
    const path = getLogPath(folder);
    const bytes = readFileSync(path);
    bytes[9]! ^= 1;
    writeFileSync(path, bytes);
  },
};

// Guards against a replica that never returns after damage, or returns without what it had acknowledged.
t.test("a damaged replica is a voter again, with all that was acknowledged", async (t) => {
  const fleet = await startFleet();
  let version = 0;
  for (const [name, damage] of Object.entries(damages)) {
    const index = version % 3;
    version += 1;
    await submit(fleet, version);
    await restartDamaged(fleet, [index], damage);
    for (const coordinator of fleet.coordinators) {
      const read = await waitUntil("document", () => coordinator.readDocument(), limitMs);
      t.equal(read.version, version, name);
    }
    const isRepaired = (): true | null =>
      isTrue(fleet.coordinators.every((one) => one.getStatus().isVoter && one.getStatus().voters === 3));
    await waitUntil("three voters", isRepaired, limitMs);
    t.equal(fleet.coordinators[index]?.getStatus().isReplacement, true);
  }
  await fleet.close();
});

// Guards against new replicas that form a majority without the data, or found a second group.
t.test("damage of a majority serves nothing old or empty", async (t) => {
  for (const damaged of [
    [0, 1],
    [0, 1, 2],
  ]) {
    const fleet = await startFleet();
    await submit(fleet, 1);
    const folders = damaged.map((index) => fleet.getFolder(index));
    await restartDamaged(fleet, damaged, (folder) => {
      truncateSync(join(folder, "identity"));
    });
    for (let restarts = 0; restarts < 2; restarts += 1) {
      const endMs = performance.now() + watchMs;
      while (performance.now() < endMs) {
        for (const coordinator of fleet.coordinators) {
          await t.rejects(coordinator.readDocument(), `${damaged.length} damaged`);
        }
        await delay(200);
      }
      t.equal(fleet.leader, -1);
      await restartDamaged(fleet, damaged, () => undefined);
    }
    for (const folder of folders) {
      t.ok(readdirSync(folder).some((name) => /^damaged-.*-log-1$/.test(name)));
    }
    await fleet.close();
  }
});
