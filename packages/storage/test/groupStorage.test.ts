import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import t from "tap";
import { RaftActionKind } from "@clementinemux/consensus/RaftActionKind";
import { GroupStorage } from "@clementinemux/storage/GroupStorage";
import { MemoryStorage } from "@clementinemux/storage/MemoryStorage";
import { StorageError } from "@clementinemux/storage/StorageError";
import { getCrc32c } from "@clementinemux/storage/getCrc32c";
import { systemDisk } from "@clementinemux/storage/systemDisk";

const entry = (index: number, term = 1) => ({
  index,
  term,
  data: Buffer.from(`e${index}`),
  membership: null,
});
const request = { kind: RaftActionKind.Persist as const, id: 1, vote: null, snapshot: null };
const fail = (error: Error): void => {
  throw error;
};

function createFolder(): string {
  return mkdtempSync(join(tmpdir(), "clementinemux-storage-"));
}

function store(storage: GroupStorage, parts: object): Promise<void> {
  return new Promise((resolve) => {
    storage.persist({ ...request, entries: [], ...parts }, resolve);
  });
}

// Guards against a checksum that other tools cannot verify.
t.test("checksum is CRC32C", (t) => {
  t.equal(getCrc32c(Buffer.from("123456789")), 0xe3069283);
  t.end();
});

// Guards against losing entries, vote or snapshot in a restart, and against a changed identity.
t.test("state survives reopening", async (t) => {
  const folder = createFolder();
  const storage = await GroupStorage.open(folder, fail);
  await store(storage, { vote: { term: 2, vote: "a" }, entries: [entry(1), entry(2), entry(3)] });
  await store(storage, { entries: [entry(3, 2)] });
  const { state } = await GroupStorage.open(folder, fail);
  t.match(state, { replicaId: storage.state.replicaId, term: 2, vote: "a" });
  t.same(
    state.entries.map(({ index, term }) => [index, term]),
    [
      [1, 1],
      [2, 1],
      [3, 2],
    ],
  );
  const snapshot = { index: 2, term: 1, membership: { voters: {}, learners: {} }, data: Buffer.from("s") };
  await store(storage, { snapshot, entries: [entry(3, 2)] });
  await store(storage, { entries: [entry(4, 2)] });
  const second = await GroupStorage.open(folder, fail);
  t.equal(second.state.snapshot?.index, 2);
  t.same(
    second.state.entries.map(({ index }) => index),
    [3, 4],
  );
});

// Guards against a failed start after a crash in the middle of a write, at any byte.
t.test("torn tail is truncated at any length", async (t) => {
  const folder = createFolder();
  const storage = await GroupStorage.open(folder, fail);
  await store(storage, { entries: [entry(1), entry(2)] });
  await storage.close();
  const file = join(folder, "log-1");
  const bytes = readFileSync(file);
  for (let cut = 1; cut < bytes.length; cut += 1) {
    writeFileSync(file, bytes.subarray(0, cut));
    // As after a loss of power: the mark tells only of what was synced.
    rmSync(join(folder, "synced"));
    const reopened = await GroupStorage.open(folder, fail);
    const { entries } = reopened.state;
    t.equal(entries.length, cut < bytes.length / 2 ? 0 : 1);
    t.equal(readFileSync(file).length, cut);
    await store(reopened, { entries: [entry(entries.length + 1)] });
    t.equal(readFileSync(file).length, ((entries.length + 1) * bytes.length) / 2);
    await reopened.close();
  }
});

// Guards against silently dropping acknowledged entries after a bit flip.
t.test("corrupt record is rejected with its offset", async (t) => {
  const folder = createFolder();
  const storage = await GroupStorage.open(folder, fail);
  await store(storage, { entries: [entry(1), entry(2), entry(3)] });
  const file = join(folder, "log-1");
  const bytes = readFileSync(file);
  const second = bytes.length / 3;
  for (const offset of [second, second + 5, second + 12]) {
    const damaged = Buffer.from(bytes);
    damaged[offset]! ^= 0x10;
    writeFileSync(file, damaged);
    await t.rejects(GroupStorage.open(folder, fail), { name: "StorageError", offset: second });
  }
  rmSync(file);
  await t.rejects(GroupStorage.open(folder, fail), StorageError);
});

// Guards against a lost identity file, after which the replica could vote again with its old log.
t.test("files without identity are rejected", async (t) => {
  const folder = createFolder();
  await GroupStorage.open(folder, fail);
  rmSync(join(folder, "identity"));
  appendFileSync(join(folder, "snapshot"), "x");
  await t.rejects(GroupStorage.open(folder, fail), StorageError);
});

// Guards against acknowledging after a failed sync, and against retrying the sync.
t.test("failed sync is fatal", async (t) => {
  let isBroken = false;
  let syncs = 0;
  const disk = {
    ...systemDisk,
    sync: (file: Parameters<typeof systemDisk.sync>[0]) => {
      syncs += 1;
      return isBroken ? Promise.reject(new Error("EIO")) : systemDisk.sync(file);
    },
  };
  const fatal: Error[] = [];
  const storage = await GroupStorage.open(createFolder(), (error) => fatal.push(error), disk);
  isBroken = true;
  syncs = 0;
  let acknowledged = 0;
  for (const index of [1, 2]) {
    storage.persist({ ...request, entries: [entry(index)] }, () => (acknowledged += 1));
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  t.same([acknowledged, syncs, fatal.length], [0, 1, 1]);
});

// Guards against acknowledging on a full disk, and against staying blocked once there is space again.
t.test("full disk delays the acknowledgement", async (t) => {
  let isFull = false;
  const disk = {
    ...systemDisk,
    write: (...parts: Parameters<typeof systemDisk.write>) =>
      isFull
        ? Promise.reject(Object.assign(new Error("full"), { code: "ENOSPC" }))
        : systemDisk.write(...parts),
  };
  const folder = createFolder();
  const storage = await GroupStorage.open(folder, fail, disk);
  isFull = true;
  let isAcknowledged = false;
  const done = store(storage, { entries: [entry(1)] }).then(() => (isAcknowledged = true));
  await new Promise((resolve) => setTimeout(resolve, 30));
  t.same([isAcknowledged, storage.isFull], [false, true]);
  isFull = false;
  await done;
  t.equal(storage.isFull, false);
  t.equal((await GroupStorage.open(folder, fail)).state.entries.length, 1);
});

// Guards against a process that ends, since its disk is full just as it starts with an empty folder.
t.test("a disk that is full at the start delays the start", async (t) => {
  let rejected = 0;
  const disk = {
    ...systemDisk,
    write: (...parts: Parameters<typeof systemDisk.write>) => {
      rejected += 1;
      return rejected <= 3
        ? Promise.reject(Object.assign(new Error("full"), { code: "ENOSPC" }))
        : systemDisk.write(...parts);
    },
  };
  const storage = await GroupStorage.open(createFolder(), fail, disk);
  await store(storage, { entries: [entry(1)] });
  t.ok(rejected > 3);
});

// Guards against two replicas without a disk with one identity, and against acknowledgements out of order or within the call.
t.test("storage without a disk", async (t) => {
  const storage = new MemoryStorage();
  t.not(storage.state.replicaId, new MemoryStorage().state.replicaId);
  const stored: number[] = [];
  const last = new Promise<void>((resolve) => {
    for (const index of [1, 2, 3]) {
      storage.persist({ ...request, entries: [entry(index)] }, () => {
        stored.push(index);
        if (index === 3) {
          resolve();
        }
      });
    }
  });
  t.same(stored, []);
  await last;
  t.same(stored, [1, 2, 3]);
});
