import { randomUUID } from "node:crypto";
import { existsSync } from "node:fs";
import { mkdir, open, readFile, readdir, rename, unlink } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { dirname, join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import type { DurableState } from "@clementinemux/consensus/DurableState";
import type { LogEntry } from "@clementinemux/consensus/LogEntry";
import type { LogSnapshot } from "@clementinemux/consensus/LogSnapshot";
import type { DiskOperations } from "./DiskOperations";
import type { PersistRequest } from "./PersistRequest";
import type { ReplicaStorage } from "./ReplicaStorage";
import { StorageError } from "./StorageError";
import { encodeRecord } from "./encodeRecord";
import { readRecords } from "./readRecords";
import { replaceFile } from "./replaceFile";
import { systemDisk } from "./systemDisk";

interface Identity {
  readonly replicaId: string;
  readonly term: number;
  readonly vote: string | null;
}

interface StoredSnapshot {
  readonly snapshot: LogSnapshot;
  /** File name of the log segment that continues the snapshot. */
  readonly segment: string;
}

interface OpenedRecords {
  readonly values: readonly unknown[];
  readonly file: FileHandle;
  readonly sizeBytes: number;
}

interface QueuedPersist {
  readonly request: PersistRequest;
  readonly onSynced: () => void;
}

const firstSegmentName = "log-1";
const fullDiskRetryMs = 200;
/** Size from which the identity file is replaced by one with its last record only. */
const maxIdentityBytes = 65_536;

/**
 * Durable state of one replica of a log group: a folder with files for identity, snapshot and log segment. The identity file
 * holds a record for each term and vote, of which the last one counts: appending one takes a single sync, replacing the
 * file takes two.
 */
export class GroupStorage implements ReplicaStorage {
  /** State that was read when the folder was opened. */
  readonly state: DurableState;
  readonly #folder: string;
  readonly #disk: DiskOperations;
  readonly #onFatal: (error: Error) => void;
  #identityFile: FileHandle;
  #identity: Identity;
  #identityBytes: number;
  #segment: string;
  #segmentFile: FileHandle;
  #sizeBytes: number;
  #queue: QueuedPersist[] = [];
  #isBusy = false;
  #isFull = false;
  #isFailed = false;

  private constructor(
    folder: string,
    disk: DiskOperations,
    onFatal: (error: Error) => void,
    opened: {
      readonly identity: OpenedRecords;
      readonly stored: StoredSnapshot | null;
      readonly segment: OpenedRecords;
    },
    entries: readonly LogEntry[],
  ) {
    this.#folder = folder;
    this.#disk = disk;
    this.#onFatal = onFatal;
    this.#identity = opened.identity.values.at(-1) as Identity;
    this.#identityFile = opened.identity.file;
    this.#identityBytes = opened.identity.sizeBytes;
    this.#segment = opened.stored?.segment ?? firstSegmentName;
    this.#segmentFile = opened.segment.file;
    this.#sizeBytes = opened.segment.sizeBytes;
    this.state = {
      ...raiseTerm(this.#identity, entries, opened.stored?.snapshot ?? null),
      snapshot: opened.stored?.snapshot ?? null,
      entries,
    };
  }

  /**
   * Opens the folder, or creates it with a new random identity. Throws a `StorageError` for corrupt files.
   */
  static async open(
    folder: string,
    onFatal: (error: Error) => void,
    disk: DiskOperations = systemDisk,
  ): Promise<GroupStorage> {
    const identityPath = join(folder, "identity");
    if (!existsSync(identityPath)) {
      await mkdir(folder, { recursive: true });
      await retryWhileFull(() => createGroupFiles(folder, disk));
    }
    const identity = await openRecords(identityPath, disk);
    if (identity.values.length === 0) {
      throw new StorageError(identityPath, 0, "corrupt record");
    }
    const snapshotFile = join(folder, "snapshot");
    const stored = existsSync(snapshotFile) ? await readSingleRecord<StoredSnapshot>(snapshotFile) : null;
    const segmentPath = join(folder, stored?.segment ?? firstSegmentName);
    if (!existsSync(segmentPath)) {
      // Starting with an empty log under the old identity could lose entries that this replica acknowledged.
      throw new StorageError(segmentPath, null, "log segment is missing");
    }
    const segment = await openRecords(segmentPath, disk);
    const firstIndex = (stored?.snapshot.index ?? 0) + 1;
    const entries = replayEntries(segment.values as LogEntry[], segmentPath, firstIndex);
    const opened = { identity, stored, segment };
    const storage = new GroupStorage(folder, disk, onFatal, opened, entries);
    await storage.#removeOldSegments();
    return storage;
  }

  /** Whether the disk is full; no request is acknowledged until it has space again. */
  get isFull(): boolean {
    return this.#isFull;
  }

  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /**
   * Stores a request and calls `onSynced` after the sync. Requests that are queued together share one sync.
   */
  persist(request: PersistRequest, onSynced: () => void): void {
    this.#queue.push({ request, onSynced });
    if (!this.#isBusy && !this.#isFailed) {
      void this.#processQueue();
    }
  }

  async close(): Promise<void> {
    this.#isFailed = true;
    await Promise.all([this.#segmentFile.close(), this.#identityFile.close()]);
  }

  async #processQueue(): Promise<void> {
    this.#isBusy = true;
    try {
      while (this.#queue.length > 0) {
        const batch = this.#queue;
        this.#queue = [];
        await this.#storeBatch(batch.map(({ request }) => request));
        for (const { onSynced } of batch) {
          onSynced();
        }
      }
    } catch (error) {
      // After a failed write or sync, the content of the file is unknown and a second sync could report
      // success.
      this.#isFailed = true;
      this.#onFatal(error instanceof Error ? error : new Error(String(error)));
    }
    this.#isBusy = false;
  }

  /**
   * Stores requests that are acknowledged together. Their last vote and their entries are synced at the same time: if only
   * the entries survive a crash, their term counts as that of the replica, which has not voted in it.
   */
  async #storeBatch(requests: readonly PersistRequest[]): Promise<void> {
    const vote = requests.findLast((request) => request.vote !== null)?.vote ?? null;
    await Promise.all([this.#storeVote(vote), this.#storeEntries(requests)]);
  }

  async #storeVote(vote: PersistRequest["vote"]): Promise<void> {
    if (vote === null) {
      return;
    }
    this.#identity = { ...this.#identity, ...vote };
    const bytes = encodeRecord(this.#identity);
    if (this.#identityBytes < maxIdentityBytes) {
      await this.#append(this.#identityFile, bytes, this.#identityBytes);
      this.#identityBytes += bytes.length;
      return;
    }
    const path = join(this.#folder, "identity");
    await this.#retryWhileFull(() => replaceFile(path, bytes, this.#disk));
    await this.#identityFile.close();
    this.#identityFile = await open(path, "r+");
    this.#identityBytes = bytes.length;
  }

  async #storeEntries(requests: readonly PersistRequest[]): Promise<void> {
    let unsynced: Buffer[] = [];
    for (const { snapshot, entries } of requests) {
      if (snapshot !== null) {
        await this.#appendToSegment(Buffer.concat(unsynced));
        unsynced = [];
        await this.#startSegment(snapshot, entries);
      } else {
        unsynced.push(...entries.map(encodeRecord));
      }
    }
    await this.#appendToSegment(Buffer.concat(unsynced));
  }

  async #appendToSegment(bytes: Buffer): Promise<void> {
    if (bytes.length === 0) {
      return;
    }
    await this.#append(this.#segmentFile, bytes, this.#sizeBytes);
    this.#sizeBytes += bytes.length;
  }

  async #append(file: FileHandle, bytes: Buffer, offset: number): Promise<void> {
    await this.#retryWhileFull(async () => {
      try {
        await this.#disk.write(file, bytes, offset);
      } catch (error) {
        await file.truncate(offset);
        throw error;
      }
    });
    await this.#disk.sync(file);
  }

  /**
   * The snapshot file names its segment, so that the rename of the snapshot file replaces both atomically.
   */
  async #startSegment(snapshot: LogSnapshot, entries: readonly LogEntry[]): Promise<void> {
    const segment = `log-${snapshot.index + 1}-${randomUUID().slice(0, 8)}`;
    const bytes = Buffer.concat(entries.map(encodeRecord));
    const path = join(this.#folder, segment);
    await this.#retryWhileFull(() => replaceFile(path, bytes, this.#disk));
    const stored: StoredSnapshot = { snapshot, segment };
    const snapshotBytes = encodeRecord(stored);
    await this.#retryWhileFull(() => replaceFile(join(this.#folder, "snapshot"), snapshotBytes, this.#disk));
    await this.#segmentFile.close();
    this.#segmentFile = await open(path, "r+");
    this.#segment = segment;
    this.#sizeBytes = bytes.length;
    await this.#removeOldSegments();
  }

  async #retryWhileFull(write: () => Promise<void>): Promise<void> {
    await retryWhileFull(write, (isFull) => {
      this.#isFull = isFull;
      return !this.#isFailed;
    });
  }

  async #removeOldSegments(): Promise<void> {
    for (const name of await readdir(this.#folder)) {
      if (name.startsWith("log-") && name !== this.#segment) {
        await unlink(join(this.#folder, name));
      }
    }
  }
}

/** Repeats a write until the disk has space for it. `onTried` is told whether the disk is full, and returns whether to go on. */
async function retryWhileFull(
  write: () => Promise<void>,
  onTried: (isFull: boolean) => boolean = () => true,
): Promise<void> {
  for (;;) {
    try {
      await write();
      onTried(false);
      return;
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== "ENOSPC" || !onTried(true)) {
        throw error;
      }
      await delay(fullDiskRetryMs);
    }
  }
}

async function createGroupFiles(folder: string, disk: DiskOperations): Promise<void> {
  const existing = (await readdir(folder)).filter(
    (name) => !name.endsWith(".tmp") && name !== firstSegmentName,
  );
  if (existing.length > 0) {
    throw new StorageError(folder, null, `identity file is missing but ${existing.join(", ")} exist`);
  }
  const identity: Identity = { replicaId: randomUUID(), term: 0, vote: null };
  const path = join(folder, "identity");
  const temporary = await open(`${path}.tmp`, "w");
  const segment = await open(join(folder, firstSegmentName), "w");
  try {
    await disk.write(temporary, encodeRecord(identity), 0);
    // The syncs run at the same time, so that the start on a slow disk takes two of them in a row: without the segment's
    // name, a replica with an identity could not start.
    await Promise.all([
      disk.sync(temporary),
      disk.sync(segment),
      disk.syncFolder(folder),
      disk.syncFolder(dirname(folder)),
    ]);
  } finally {
    await Promise.all([temporary.close(), segment.close()]);
  }
  await rename(`${path}.tmp`, path);
  await disk.syncFolder(folder);
}

/** Opens a file of records and removes a torn record at its end. */
async function openRecords(path: string, disk: DiskOperations): Promise<OpenedRecords> {
  const bytes = await readFile(path);
  const { values, validBytes } = readRecords(path, bytes);
  const file = await open(path, "r+");
  if (validBytes < bytes.length) {
    await file.truncate(validBytes);
    await disk.sync(file);
  }
  return { values, file, sizeBytes: validBytes };
}

/** The identity of a replica whose vote was not synced together with its entries: it has not voted in the term of these. */
function raiseTerm(identity: Identity, entries: readonly LogEntry[], snapshot: LogSnapshot | null): Identity {
  const storedTerm = entries.at(-1)?.term ?? snapshot?.term ?? 0;
  return storedTerm > identity.term ? { ...identity, term: storedTerm, vote: null } : identity;
}

async function readSingleRecord<Value>(file: string): Promise<Value> {
  const bytes = await readFile(file);
  const { values, validBytes } = readRecords(file, bytes);
  if (values.length !== 1 || validBytes !== bytes.length) {
    throw new StorageError(file, validBytes, "corrupt record");
  }
  return values[0] as Value;
}

/**
 * An entry replaces all earlier ones from its index on: it was written after the leader's log overwrote them.
 */
function replayEntries(values: readonly LogEntry[], file: string, firstIndex: number): LogEntry[] {
  const entries: LogEntry[] = [];
  for (const entry of values) {
    const position = entry.index - firstIndex;
    if (position < 0 || position > entries.length) {
      throw new StorageError(file, null, `entry ${entry.index} does not continue the log`);
    }
    entries.length = position;
    entries.push(entry);
  }
  return entries;
}
