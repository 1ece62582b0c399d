import { appendFileSync, mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import t from "tap";
import { RaftActionKind } from "@clementinemux/consensus/RaftActionKind";
import { GroupStorage } from "@clementinemux/storage/GroupStorage";
import type { PersistRequest } from "@clementinemux/storage/PersistRequest";
import { replaceFile } from "@clementinemux/storage/replaceFile";
import { systemDisk } from "@clementinemux/storage/systemDisk";
import { waitUntil } from "@clementinemux/system/waitUntil";

const fail = (error: Error): void => {
  throw error;
};
const snapshot = { index: 2, term: 1, membership: { voters: {}, learners: {} }, data: Buffer.from("s") };

function createFolder(): string {
  return mkdtempSync(join(tmpdir(), "clementinemux-storage-"));
}

function createEntry(index: number) {
  return { index, term: 1, data: Buffer.from(`e${index}`), membership: null };
}

function store(storage: GroupStorage, parts: Partial<PersistRequest>): Promise<void> {
  const request = { kind: RaftActionKind.Persist as const, id: 1, vote: null, snapshot: null, entries: [] };
  return new Promise((resolve) => {
    storage.persist({ ...request, ...parts }, resolve);
  });
}

function readFolder(folder: string): Map<string, string> {
  const names = readdirSync(folder).sort();
  return new Map(names.map((name) => [name, readFileSync(join(folder, name), "hex")]));
}

/** A storage with two entries whose fatal error and stored requests can be awaited. */
async function openWatched(folder: string) {
  let onFatal: (error: Error) => void = fail;
  const fatal = new Promise<string>((resolve) => {
    onFatal = ({ message }) => {
      resolve(message);
    };
  });
  const storage = await GroupStorage.open(folder, (error) => {
    onFatal(error);
  });
  const tryStore = (parts: Partial<PersistRequest>): Promise<string> =>
    Promise.race([store(storage, parts).then(() => "stored"), fatal]);
  return { storage, tryStore };
}

// Guards against a second copy that deletes the segment which the running one has just begun, or cuts off its last write.
t.test("opening a folder changes none of its files", async (t) => {
  const folder = createFolder();
  const first = await GroupStorage.open(folder, fail);
  await store(first, { vote: { term: 1, vote: "a" }, entries: [createEntry(1), createEntry(2)] });
  writeFileSync(join(folder, "log-3-begun"), "");
  await first.close();
  appendFileSync(join(folder, "log-1"), "torn");
  appendFileSync(join(folder, "identity"), "torn");
  const before = readFolder(folder);
  await GroupStorage.open(folder, fail);
  t.same(readFolder(folder), before);
});

// Guards against a running copy that ends since another one has opened its folder and removed an old segment.
t.test("a copy that only opens the folder leaves the first one running", async (t) => {
  const folder = createFolder();
  const { tryStore } = await openWatched(folder);
  t.equal(await tryStore({ entries: [createEntry(1), createEntry(2)] }), "stored");
  for (const index of [2, 3]) {
    await GroupStorage.open(folder, fail);
    rmSync(join(folder, "log-1"), { force: true });
    t.equal(await tryStore({ snapshot: { ...snapshot, index } }), "stored");
  }
  const { state } = await GroupStorage.open(folder, fail);
  t.equal(state.snapshot?.index, 3);
});

// Guards against two processes that write to one folder, and against acknowledging what the new owner has not read.
t.test("the earlier owner of a folder ends before it changes anything", async (t) => {
  for (const parts of [{ entries: [createEntry(2)] }, { snapshot }, { vote: { term: 9, vote: "b" } }]) {
    const folder = createFolder();
    const first = await openWatched(folder);
    t.equal(await first.tryStore({ entries: [createEntry(1)] }), "stored");
    await waitUntil("mark", () => (readFileSync(join(folder, "synced")).length > 0 ? true : null), 2000);
    const second = await openWatched(folder);
    t.equal(await second.tryStore({ vote: { term: 2, vote: "a" }, entries: [createEntry(2)] }), "stored");
    await second.storage.close();
    const before = readFolder(folder);
    t.match(await first.tryStore(parts), /taken over by another process/);
    t.same(readFolder(folder), before);
    t.match((await GroupStorage.open(folder, fail)).state, { term: 2, vote: "a" });
  }
});

// Guards against a copy that votes or appends after a state which the owner has left behind.
t.test("a copy whose files have changed since it read them writes nothing", async (t) => {
  const changes = [{ entries: [createEntry(2)] }, { snapshot }, { vote: { term: 2, vote: "a" } }];
  for (const change of changes) {
    const folder = createFolder();
    const first = await openWatched(folder);
    await first.tryStore({ entries: [createEntry(1)] });
    const second = await openWatched(folder);
    t.equal(await first.tryStore(change), "stored");
    const { state } = await GroupStorage.open(folder, fail);
    t.match(await second.tryStore({ vote: { term: 2, vote: "b" } }), /written by another process/);
    t.same((await GroupStorage.open(folder, fail)).state, state);
  }
});

// Guards against two copies with a new folder that both go on with their own identity.
t.test("of two copies that create a folder, one goes on", async (t) => {
  const folder = createFolder();
  const copies = await Promise.all([openWatched(folder), openWatched(folder)]);
  const results = [];
  for (const { tryStore } of copies) {
    results.push(await tryStore({ entries: [createEntry(1)] }));
  }
  t.equal(results.filter((result) => result === "stored").length, 1, results.join());
});

// Guards against a file with the content of two processes that replace it at once, and against files that pile up.
t.test("temporary files are not shared, and left ones are removed", async (t) => {
  const folder = createFolder();
  const path = join(folder, "identity");
  const texts = Array.from({ length: 20 }, (_, index) => `${index}`.repeat(1000));
  await t.resolves(Promise.all(texts.map((text) => replaceFile(path, Buffer.from(text), systemDisk))));
  t.ok(texts.includes(readFileSync(path, "utf8")));
  t.same(readdirSync(folder), ["identity"]);
  rmSync(path);
  const { storage, tryStore } = await openWatched(folder);
  const left = ["identity.tmp", "identity.1.tmp", "snapshot.tmp", "log-3-a.tmp", "log-3-b"];
  for (const name of left) {
    writeFileSync(join(folder, name), "x");
  }
  t.equal(await tryStore({ entries: [createEntry(1)] }), "stored");
  await storage.close();
  t.same(readdirSync(folder).sort(), ["identity", "log-1", "owner", "synced"]);
});
