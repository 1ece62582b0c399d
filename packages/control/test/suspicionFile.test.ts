import { existsSync, mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import t from "tap";
import type { Test } from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { CrashFeed } from "@clementinemux/control/routes/CrashFeed";
import { SuspicionFile } from "@clementinemux/control/routes/SuspicionFile";
import { createLogger } from "@clementinemux/logging/createLogger";
import { systemDisk } from "@clementinemux/storage/systemDisk";
import { waitUntil } from "@clementinemux/system/waitUntil";

const logger = createLogger("test", {});
const clock = new SystemClock();
const suspicion = { part: "request/a", crashes: 2, ageMs: 1000, leftMs: 120_000, isLifted: false };

function createFolder(t: Test): string {
  const folder = mkdtempSync(join(tmpdir(), "clementinemux-suspicions-"));
  t.teardown(() => {
    rmSync(folder, { recursive: true });
  });
  return folder;
}

function createFeed(dataFolder: string): CrashFeed {
  return new CrashFeed({ incarnation: "1", clock, onChanged: () => undefined, logger, dataFolder });
}

function crash(feed: CrashFeed, id: string): void {
  const requests = [{ key: "request/a", parts: [], hasBegun: false }];
  const report = { target: { id, bornMs: 1 }, ageMs: 0, parts: [], requests, service: "s", isIsolated: true };
  feed.merge({ reports: [report], answered: [], suspicions: [] });
}

// Guards against a restart of all processes after which a deadly request crashes the targets anew.
t.test("suspicions outlast the coordinator", async (t) => {
  const folder = createFolder(t);
  const first = createFeed(folder);
  crash(first, "t-1");
  crash(first, "t-2");
  await waitUntil("file", () => (readFileSync(join(folder, "suspicions")).length > 0 ? true : null), 2000);
  first.close();
  const second = createFeed(folder);
  await second.load();
  t.match(second.getFindings().suspicions, [{ part: "request/a", crashes: 1 }]);
  second.close();
});

// Guards against suspicions that last longer by each restart, or for ever where the time of day was set back.
t.test("a suspicion ends as it would have without the restart", async (t) => {
  const path = join(createFolder(t), "suspicions");
  const wall = { ms: 1_000_000 };
  const shifted = { monotonicMs: () => 0, wallMs: () => wall.ms };
  const file = new SuspicionFile({ path, disk: systemDisk, clock: shifted, logger });
  file.save([suspicion]);
  await waitUntil("file", async () => ((await file.load()).length === 1 ? true : null), 2000);
  wall.ms += 100_000;
  t.match(await file.load(), [{ leftMs: 20_000, ageMs: 101_000 }]);
  wall.ms += 20_000;
  t.same(await file.load(), []);
  wall.ms = 0;
  t.match(await file.load(), [{ leftMs: 120_000 }]);
});

// Guards against a coordinator that does not start, or ends, since its file is damaged or its disk is full.
t.test("a damaged file and a failing disk cost the suspicions only", async (t) => {
  const path = join(createFolder(t), "suspicions");
  let writes = 0;
  const write = (): Promise<void> => {
    writes += 1;
    return Promise.reject(new Error("no space"));
  };
  const file = new SuspicionFile({ path, disk: { ...systemDisk, write }, clock, logger });
  file.save([suspicion]);
  await waitUntil("write", () => (writes === 1 ? true : null), 2000);
  t.same(await file.load(), []);
  writeFileSync(path, "no suspicions");
  t.same(await file.load(), []);
});

// Guards against temporary files of crashed processes that pile up.
t.test("left temporary files are removed", async (t) => {
  const folder = createFolder(t);
  const path = join(folder, "suspicions");
  writeFileSync(`${path}.tmp`, "x");
  writeFileSync(`${path}.1.tmp`, "x");
  new SuspicionFile({ path, disk: systemDisk, clock, logger }).save([suspicion]);
  await waitUntil("file", () => (existsSync(path) ? true : null), 2000);
  t.same(readdirSync(folder), ["suspicions"]);
});
