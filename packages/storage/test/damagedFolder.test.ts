import {
  appendFileSync,
  cpSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  readdirSync,
  renameSync,
  rmSync,
  symlinkSync,
  truncateSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import * as fc from "fast-check";
import t from "tap";
import type { Test } from "tap";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { RaftActionKind } from "@clementinemux/consensus/RaftActionKind";
import { createLogger } from "@clementinemux/logging/createLogger";
import type { GroupStorage } from "@clementinemux/storage/GroupStorage";
import type { PersistRequest } from "@clementinemux/storage/PersistRequest";
import { openGroupStorage } from "@clementinemux/storage/openGroupStorage";
import { systemDisk } from "@clementinemux/storage/systemDisk";

const clock = new SystemClock();
const logger = createLogger("test", {});
const runs = 20;

t.setTimeout(120_000);

function createParent(t: Test): string {
  const parent = mkdtempSync(join(tmpdir(), "clementinemux-damaged-"));
  t.teardown(() => {
    rmSync(parent, { recursive: true, force: true });
  });
  return parent;
}

function openFolder(folder: string, disk = systemDisk): Promise<GroupStorage> {
  const onFatal = (error: Error): void => {
    throw error;
  };
  return openGroupStorage({ folder, onFatal, disk, clock, logger });
}

function createEntry(index: number) {
  return { index, term: 2, data: Buffer.from(`e${index}`), membership: null };
}

function store(storage: GroupStorage, parts: Partial<PersistRequest>): Promise<void> {
  const request = { kind: RaftActionKind.Persist as const, id: 1, vote: null, snapshot: null, entries: [] };
  return new Promise((resolve) => {
    storage.persist({ ...request, ...parts }, resolve);
  });
}

/** A folder with two votes, a snapshot and three entries after it. */
async function createUsedFolder(parent: string) {
  const folder = join(parent, "used");
  const storage = await openFolder(folder);
  const snapshot = { index: 2, term: 1, membership: { voters: {}, learners: {} }, data: Buffer.from("s") };
  await store(storage, { vote: { term: 1, vote: "a" }, entries: [createEntry(1), createEntry(2)] });
  await store(storage, { vote: { term: 2, vote: "b" }, snapshot, entries: [3, 4, 5].map(createEntry) });
  await storage.close();
  const { state } = await openFolder(folder);
  const segment = readdirSync(folder).find((name) => name.startsWith("log-")) ?? "";
  return { folder, state, files: ["identity", "snapshot", segment] };
}

function listAside(folder: string): string[] {
  return readdirSync(folder).filter((name) => name.startsWith("damaged-"));
}

function checkReplaced(t: Test, storage: GroupStorage, replicaId: string): void {
  t.match(storage.state, { term: 0, vote: null, snapshot: null, entries: [] });
  t.not(storage.state.replicaId, replicaId);
  t.ok(storage.isReplacement);
}

// Guards against a replica that never starts again, or starts as the earlier one, since one of its files is missing or empty.
t.test("a missing or empty file makes a new replica", async (t) => {
  const parent = createParent(t);
  const { folder, state, files } = await createUsedFolder(parent);
  const damages = { missing: rmSync, empty: truncateSync };
  for (const file of files) {
    for (const [kind, damage] of Object.entries(damages)) {
      const damaged = join(parent, `${kind}-${file}`);
      cpSync(folder, damaged, { recursive: true });
      damage(join(damaged, file));
      checkReplaced(t, await openFolder(damaged), state.replicaId);
      t.equal(listAside(damaged).length, kind === "missing" ? 2 : 3, `${kind} ${file}`);
    }
  }
});

// Guards against damage after which a replica acts as the earlier one with other state, loses files, or does not start.
t.test("a flipped bit or a cut at any position makes a new replica", async (t) => {
  const parent = createParent(t);
  const { folder, state, files } = await createUsedFolder(parent);
  const damage = fc.record({
    file: fc.constantFrom(...files),
    share: fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true }),
    bit: fc.option(fc.nat(7)),
  });
  let run = 0;
  await fc.assert(
    fc.asyncProperty(damage, async ({ file, share, bit }) => {
      run += 1;
      const damaged = join(parent, `damaged-${run}`);
      cpSync(folder, damaged, { recursive: true });
      const path = join(damaged, file);
      const bytes = damageBytes(readFileSync(path), share, bit);
      writeFileSync(path, bytes);
      checkReplaced(t, await openFolder(damaged), state.replicaId);
      const aside = listAside(damaged).find((name) => name.endsWith(`-${file}`)) ?? "";
      t.same(readFileSync(join(damaged, aside)), bytes, "the damaged file is kept");
    }),
    { numRuns: runs },
  );
});

/** Cuts the bytes at a position, or flips a bit there. */
function damageBytes(bytes: Buffer, share: number, bit: number | null): Buffer {
  const offset = Math.floor(share * bytes.length);
  if (bit === null) {
    return bytes.subarray(0, offset);
  }
  bytes[offset]! ^= 1 << bit;
  return bytes;
}

// Guards against a replica that is given up since a write was torn, or since the mark tells of less than the files.
t.test("a torn write after the synced state is cut off", async (t) => {
  const parent = createParent(t);
  const { folder, state, files } = await createUsedFolder(parent);
  const early = readFileSync(join(folder, "synced"));
  for (const file of files.filter((name) => name !== "snapshot")) {
    appendFileSync(join(folder, file), "torn");
    t.same((await openFolder(folder)).state, state);
  }
  const storage = await openFolder(folder);
  await store(storage, { vote: { term: 3, vote: "a" }, entries: [createEntry(6)] });
  await storage.close();
  for (const mark of [early, early.subarray(0, 20), Buffer.alloc(0)]) {
    writeFileSync(join(folder, "synced"), mark);
    const reopened = await openFolder(folder);
    t.match(reopened.state, { replicaId: state.replicaId, term: 3, vote: "a" });
    t.equal(reopened.state.entries.length, 4);
  }
});

// Guards against a new replica that creates a group in place of the one that it belonged to, after any restart or crash.
t.test("the mark of a replacement outlasts restarts, votes and crashes", async (t) => {
  const parent = createParent(t);
  const { folder } = await createUsedFolder(parent);
  truncateSync(join(folder, "identity"));
  const first = await openFolder(folder);
  await store(first, { vote: { term: 7, vote: "c" }, entries: [createEntry(1)] });
  await first.close();
  const second = await openFolder(folder);
  t.match(second.state, { replicaId: first.state.replicaId, term: 7, vote: "c" });
  t.ok(second.isReplacement);
  // As after a crash between the renames and the new files.
  for (const name of ["identity", "log-1"]) {
    rmSync(join(folder, name));
  }
  t.ok((await openFolder(folder)).isReplacement);
  t.notOk((await openFolder(join(parent, "new"))).isReplacement);
});

// Guards against a segment of another log that is replayed, and against entries that are lost with the identity file.
t.test("a log that does not continue, or has no identity, makes a new replica", async (t) => {
  const parent = createParent(t);
  const { folder, state, files } = await createUsedFolder(parent);
  const other = join(parent, "other");
  cpSync(folder, other, { recursive: true });
  rmSync(join(folder, "snapshot"));
  writeFileSync(join(folder, "log-1"), readFileSync(join(other, files[2] ?? "")));
  checkReplaced(t, await openFolder(folder), state.replicaId);
  const fresh = join(parent, "fresh");
  const storage = await openFolder(fresh);
  await store(storage, { entries: [createEntry(1)] });
  rmSync(join(fresh, "identity"));
  checkReplaced(t, await openFolder(fresh), storage.state.replicaId);
});

// Guards against a replica that is kept out by what is no file of it.
t.test("a file in the place of the folder, and a folder in the place of a file", async (t) => {
  const parent = createParent(t);
  const path = join(parent, "file");
  writeFileSync(path, "kept");
  t.ok((await openFolder(path)).isReplacement);
  const [aside = ""] = listAside(path);
  t.equal(readFileSync(join(path, aside), "utf8"), "kept");
  const { folder, state } = await createUsedFolder(parent);
  rmSync(join(folder, "snapshot"));
  mkdirSync(join(folder, "snapshot"));
  checkReplaced(t, await openFolder(folder), state.replicaId);
  const mounted = join(parent, "mounted");
  mkdirSync(join(mounted, "lost+found"), { recursive: true });
  t.notOk((await openFolder(mounted)).isReplacement, "other files say nothing about a replica");
});

// Guards against a replica that gives up its state for an error that passes.
t.test("a file that cannot be read for a time is not damaged", async (t) => {
  const { folder, state } = await createUsedFolder(createParent(t));
  const identity = join(folder, "identity");
  renameSync(identity, `${identity}-kept`);
  // Reading a link to itself fails for all users, other than a file without permissions.
  symlinkSync("identity", identity);
  let isOpen = false;
  const opened = openFolder(folder).finally(() => (isOpen = true));
  await new Promise((resolve) => setTimeout(resolve, 1200));
  t.notOk(isOpen);
  rmSync(identity);
  renameSync(`${identity}-kept`, identity);
  t.same((await opened).state, state);
  t.same(listAside(folder), []);
});

// Guards against damaged files that are given up halfway on a full disk.
t.test("damage on a full disk waits for space", async (t) => {
  const { folder, state } = await createUsedFolder(createParent(t));
  truncateSync(join(folder, "snapshot"));
  let rejected = 0;
  const write = (...parts: Parameters<typeof systemDisk.write>): Promise<void> => {
    rejected += 1;
    return rejected <= 2
      ? Promise.reject(Object.assign(new Error("full"), { code: "ENOSPC" }))
      : systemDisk.write(...parts);
  };
  checkReplaced(t, await openFolder(folder, { ...systemDisk, write }), state.replicaId);
  t.equal(listAside(folder).length, 3);
});
