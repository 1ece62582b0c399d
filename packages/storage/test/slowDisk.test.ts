import { appendFileSync, mkdtempSync, readFileSync, rmSync, statSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { RaftActionKind } from "@clementinemux/consensus/RaftActionKind";
import { GroupStorage } from "@clementinemux/storage/GroupStorage";
import type { PersistRequest } from "@clementinemux/storage/PersistRequest";
import { systemDisk } from "@clementinemux/storage/systemDisk";

const syncMs = 30;
const fail = (error: Error): void => {
  throw error;
};

function createFolder(): string {
  return join(mkdtempSync(join(tmpdir(), "clementinemux-storage-")), "replica");
}

function createEntry(index: number, term: number) {
  return { index, term, data: Buffer.from(`e${index}`), membership: null };
}

function store(storage: GroupStorage, parts: Partial<PersistRequest>): Promise<void> {
  const request = { kind: RaftActionKind.Persist as const, id: 1, vote: null, snapshot: null, entries: [] };
  return new Promise((resolve) => {
    storage.persist({ ...request, ...parts }, resolve);
  });
}

/** As after a loss of power within a write: the mark of the synced state tells of none that was not synced. */
async function loseMark(storage: GroupStorage, folder: string): Promise<void> {
  await storage.close();
  rmSync(join(folder, "synced"));
}

/** A disk that counts the rounds of syncs: those that run at the same time are one. */
function createSlowDisk() {
  let active = 0;
  const disk = {
    ...systemDisk,
    rounds: 0,
    async sync(): Promise<void> {
      disk.rounds += active === 0 ? 1 : 0;
      active += 1;
      await delay(syncMs);
      active -= 1;
    },
    syncFolder: (): Promise<void> => disk.sync(),
  };
  return disk;
}

// Guards against a cold start and elections that wait for many syncs in a row on a slow disk.
t.test("few syncs in a row", async (t) => {
  const disk = createSlowDisk();
  const storage = await GroupStorage.open(createFolder(), fail, disk);
  t.ok(disk.rounds <= 2, `${disk.rounds} for a new folder`);
  disk.rounds = 0;
  await store(storage, { vote: { term: 1, vote: "a" } });
  t.equal(disk.rounds, 1, "for a vote");
  await store(storage, { vote: { term: 2, vote: null }, entries: [createEntry(1, 2)] });
  t.equal(disk.rounds, 2, "for a term and its entries");
});

// Guards against a replica that votes again in a term of which it holds an entry, after a crash that lost only the vote.
t.test("an entry without its vote raises the term", async (t) => {
  const folder = createFolder();
  const storage = await GroupStorage.open(folder, fail);
  await store(storage, { vote: { term: 1, vote: "a" } });
  const before = readFileSync(join(folder, "identity"));
  await store(storage, { vote: { term: 3, vote: "b" }, entries: [createEntry(1, 3)] });
  await loseMark(storage, folder);
  writeFileSync(join(folder, "identity"), before);
  const { state } = await GroupStorage.open(folder, fail);
  t.match(state, { term: 3, vote: null, replicaId: storage.state.replicaId });
});

// Guards against a lost vote, or a replica that does not start, after a crash within the write of the next vote.
t.test("a torn vote leaves the one before it", async (t) => {
  const folder = createFolder();
  const file = join(folder, "identity");
  const storage = await GroupStorage.open(folder, fail);
  await store(storage, { vote: { term: 1, vote: "a" } });
  const before = readFileSync(file);
  await store(storage, { vote: { term: 2, vote: "b" } });
  await loseMark(storage, folder);
  const after = readFileSync(file);
  for (let cut = before.length; cut < after.length; cut += 1) {
    writeFileSync(file, after.subarray(0, cut));
    const { state } = await GroupStorage.open(folder, fail);
    t.match(state, { term: 1, vote: "a", replicaId: storage.state.replicaId });
  }
  writeFileSync(file, before.subarray(0, 5));
  await t.rejects(GroupStorage.open(folder, fail), { name: "StorageError" });
});

// Guards against an identity file that grows with each election until the disk is full.
t.test("the identity file stays small", async (t) => {
  const folder = createFolder();
  const file = join(folder, "identity");
  await GroupStorage.open(folder, fail);
  const [record] = [readFileSync(file)];
  while (statSync(file).size < 65_536) {
    appendFileSync(file, record);
  }
  const storage = await GroupStorage.open(folder, fail);
  await store(storage, { vote: { term: 7, vote: "a" } });
  t.ok(statSync(file).size < 1000);
  await store(storage, { vote: { term: 8, vote: "b" } });
  t.match((await GroupStorage.open(folder, fail)).state, { term: 8, vote: "b" });
});
