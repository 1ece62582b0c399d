import { randomUUID } from "node:crypto";
import { existsSync } from "node:fs";
import { mkdir, open, readFile, readdir, unlink } from "node:fs/promises";
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
import { syncFolder } from "./syncFolder";
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

interface QueuedPersist {
  readonly request: PersistRequest;
  readonly onSynced: () => void;
}

const firstSegmentName = "log-1";
const fullDiskRetryMs = 200;

/**
 * Durable state of one replica of a log group: a folder with files for identity, snapshot and log segment.
 */
export class GroupStorage implements ReplicaStorage {
  /** State that was read when the folder was opened. */
  readonly state: DurableState;
  readonly #folder: string;
  readonly #disk: DiskOperations;
  readonly #onFatal: (error: Error) => void;
  #identity: Identity;
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
    opened: { identity: Identity; stored: StoredSnapshot | null; file: FileHandle; sizeBytes: number },
    entries: readonly LogEntry[],
  ) {
    this.#folder = folder;
    this.#disk = disk;
    this.#onFatal = onFatal;
    this.#identity = opened.identity;
    this.#segment = opened.stored?.segment ?? firstSegmentName;
    this.#segmentFile = opened.file;
    this.#sizeBytes = opened.sizeBytes;
    this.state = { ...opened.identity, snapshot: opened.stored?.snapshot ?? null, entries };
  }

  /**
   * Opens the folder, or creates it with a new random identity. Throws a `StorageError` for corrupt files.
   */
  static async open(
    folder: string,
    onFatal: (error: Error) => void,
    disk: DiskOperations = systemDisk,
  ): Promise<GroupStorage> {
    if (!existsSync(folder)) {
      await mkdir(folder, { recursive: true });
      await syncFolder(dirname(folder));
    }
    const identityFile = join(folder, "identity");
    if (!existsSync(identityFile)) {
      await retryWhileFull(() => createGroupFiles(folder, disk));
    }
    const identity = await readSingleRecord<Identity>(identityFile);
    const snapshotFile = join(folder, "snapshot");
    const stored = existsSync(snapshotFile) ? await readSingleRecord<StoredSnapshot>(snapshotFile) : null;
    const segment = join(folder, stored?.segment ?? firstSegmentName);
    if (!existsSync(segment)) {
      // Starting with an empty log under the old identity could lose entries that this replica acknowledged.
      throw new StorageError(segment, null, "log segment is missing");
    }
    const bytes = await readFile(segment);
    const { values, validBytes } = readRecords(segment, bytes);
    const file = await open(segment, "r+");
    if (validBytes < bytes.length) {
      await file.truncate(validBytes);
      await disk.sync(file);
    }
    const entries = replayEntries(values as LogEntry[], segment, (stored?.snapshot.index ?? 0) + 1);
    const opened = { identity, stored, file, sizeBytes: validBytes };
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
    await this.#segmentFile.close();
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

  async #storeBatch(requests: readonly PersistRequest[]): Promise<void> {
    let unsynced: Buffer[] = [];
    for (const { vote, snapshot, entries } of requests) {
      if (snapshot !== null) {
        await this.#appendBytes(Buffer.concat(unsynced));
        unsynced = [];
        await this.#startSegment(snapshot, entries);
      } else {
        unsynced.push(...entries.map(encodeRecord));
      }
      if (vote !== null) {
        this.#identity = { ...this.#identity, ...vote };
        const bytes = encodeRecord(this.#identity);
        await this.#retryWhileFull(() => replaceFile(join(this.#folder, "identity"), bytes, this.#disk));
      }
    }
    await this.#appendBytes(Buffer.concat(unsynced));
  }

  async #appendBytes(bytes: Buffer): Promise<void> {
    if (bytes.length === 0) {
      return;
    }
    await this.#retryWhileFull(async () => {
      try {
        await this.#disk.write(this.#segmentFile, bytes, this.#sizeBytes);
      } catch (error) {
        await this.#segmentFile.truncate(this.#sizeBytes);
        throw error;
      }
    });
    await this.#disk.sync(this.#segmentFile);
    this.#sizeBytes += bytes.length;
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
  await replaceFile(join(folder, firstSegmentName), Buffer.alloc(0), disk);
  const identity: Identity = { replicaId: randomUUID(), term: 0, vote: null };
  await replaceFile(join(folder, "identity"), encodeRecord(identity), disk);
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
