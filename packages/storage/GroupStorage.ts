import { randomUUID } from "node:crypto";
import { mkdir, open, readFile } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { join } from "node:path";
import { isDeepStrictEqual } from "node:util";
import type { Logger } from "roarr";
import type { DurableState } from "@clementinemux/consensus/DurableState";
import type { LogEntry } from "@clementinemux/consensus/LogEntry";
import type { LogSnapshot } from "@clementinemux/consensus/LogSnapshot";
import type { DiskOperations } from "./DiskOperations";
import type { FileSignature } from "./FileSignature";
import { FolderFence } from "./FolderFence";
import { FolderLostError } from "./FolderLostError";
import type { PersistRequest } from "./PersistRequest";
import type { ReplicaStorage } from "./ReplicaStorage";
import type { Identity } from "./Identity";
import { StorageError } from "./StorageError";
import { SyncedMark } from "./SyncedMark";
import type { SyncedState } from "./SyncedState";
import { createGroupFiles } from "./createGroupFiles";
import { cutTornRecord } from "./cutTornRecord";
import { encodeRecord } from "./encodeRecord";
import { findLostState } from "./findLostState";
import { firstSegmentName } from "./firstSegmentName";
import { raiseTerm } from "./raiseTerm";
import { readRecords } from "./readRecords";
import { readSignature } from "./readSignature";
import { removeFiles } from "./removeFiles";
import { replaceFile } from "./replaceFile";
import { retryWhileFull } from "./retryWhileFull";
import { systemDisk } from "./systemDisk";

interface StoredSnapshot {
  readonly snapshot: LogSnapshot;
  /** File name of the log segment that continues the snapshot. */
  readonly segment: string;
}

interface StoredRecords {
  readonly values: readonly unknown[];
  /** Size without a torn record at the end. */
  readonly sizeBytes: number;
}

interface OpenedRecords extends StoredRecords {
  readonly file: FileHandle;
}

interface OpenedFolder {
  readonly identity: OpenedRecords;
  readonly stored: StoredSnapshot | null;
  readonly segment: OpenedRecords;
  readonly entries: readonly LogEntry[];
  /** Signatures before the files were read. */
  readonly signatures: FolderSignatures;
}

/** Signatures of identity, snapshot and segment; null for a file that does not exist. */
type FolderSignatures = readonly (FileSignature | null)[];

interface GroupStorageOptions {
  readonly folder: string;
  readonly disk: DiskOperations;
  readonly onFatal: (error: Error) => void;
  readonly logger: Logger | null;
}

interface QueuedPersist {
  readonly request: PersistRequest;
  readonly onSynced: () => void;
}

/** Size from which the identity file is replaced by one with its last record only. */
const maxIdentityBytes = 65_536;

/**
 * Durable state of one replica of a log group: a folder with files for identity, snapshot and log segment. The identity file
 * holds a record for each term and vote, of which the last one counts: appending one takes a single sync, replacing the
 * file takes two. Opening a folder changes none of its files: another process may still use it. The first write takes it over,
 * unless its files have changed since they were read; the process that had it finds that out before its next write, and
 * acknowledges nothing after it.
 */
export class GroupStorage implements ReplicaStorage {
  /** State that was read when the folder was opened. */
  readonly state: DurableState;
  readonly #options: GroupStorageOptions;
  readonly #fence: FolderFence;
  readonly #signatures: FolderSignatures;
  readonly #mark: SyncedMark;
  #identityFile: FileHandle;
  #identity: Identity;
  #identityBytes: number;
  #snapshotIndex: number;
  #segment: string;
  #segmentFile: FileHandle;
  #sizeBytes: number;
  #queue: QueuedPersist[] = [];
  #isBusy = false;
  #isFull = false;
  #isFailed = false;

  private constructor(options: GroupStorageOptions, opened: OpenedFolder) {
    const { identity, stored, segment, entries, signatures } = opened;
    this.#options = options;
    this.#fence = new FolderFence(options.folder, options.disk);
    this.#signatures = signatures;
    this.#mark = new SyncedMark(options.folder, options.disk, options.logger);
    this.#identity = identity.values.at(-1) as Identity;
    this.#identityFile = identity.file;
    this.#identityBytes = identity.sizeBytes;
    this.#segment = stored?.segment ?? firstSegmentName;
    this.#segmentFile = segment.file;
    this.#sizeBytes = segment.sizeBytes;
    const snapshot = stored?.snapshot ?? null;
    this.#snapshotIndex = snapshot?.index ?? 0;
    this.state = { ...raiseTerm(this.#identity, entries, snapshot), snapshot, entries };
  }

  /**
   * Opens the folder, or creates it with a new random identity. Throws a `StorageError` for corrupt files.
   */
  static async open(
    folder: string,
    onFatal: (error: Error) => void,
    disk: DiskOperations = systemDisk,
    logger: Logger | null = null,
  ): Promise<GroupStorage> {
    if ((await readSignature(join(folder, "identity"))) === null) {
      await mkdir(folder, { recursive: true });
      await retryWhileFull(() => createGroupFiles(folder, disk));
    }
    return new GroupStorage({ folder, disk, onFatal, logger }, await openFolder(folder));
  }

  /** Whether the disk is full; no request is acknowledged until it has space again. */
  get isFull(): boolean {
    return this.#isFull;
  }

  get isReplacement(): boolean {
    return this.#identity.isReplacement === true;
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
    const files = [this.#segmentFile, this.#identityFile, this.#fence, this.#mark];
    await Promise.all(files.map((file) => file.close()));
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
        this.#mark.save(this.#getSyncedState());
      }
    } catch (error) {
      // After a failed write or sync, the content of the file is unknown and a second sync could report
      // success.
      this.#isFailed = true;
      this.#options.onFatal(error instanceof Error ? error : new Error(String(error)));
    }
    this.#isBusy = false;
  }

  /**
   * Stores requests that are acknowledged together. Their last vote and their entries are synced at the same time: if only
   * the entries survive a crash, their term counts as that of the replica, which has not voted in it.
   */
  async #storeBatch(requests: readonly PersistRequest[]): Promise<void> {
    if (!this.#fence.isClaimed) {
      await this.#takeOver();
    }
    const vote = requests.findLast((request) => request.vote !== null)?.vote ?? null;
    await Promise.all([this.#storeVote(vote), this.#storeEntries(requests)]);
    // What was stored after another process has read the files must not be acknowledged.
    await this.#fence.check();
  }

  /** Makes this process the owner of the folder before its first write, and removes torn records at the end of the files. */
  async #takeOver(): Promise<void> {
    const { folder } = this.#options;
    await this.#retryWhileFull(() => this.#fence.claim());
    if (!isDeepStrictEqual(await readSignatures(folder, this.#segment), this.#signatures)) {
      throw new FolderLostError(folder, "was written by another process since it was read");
    }
    const [identity = null, , segment = null] = this.#signatures;
    await cutTornRecord(this.#identityFile, identity, this.#identityBytes);
    await cutTornRecord(this.#segmentFile, segment, this.#sizeBytes);
    await this.#removeUnusedFiles(isLeftOver);
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
    const path = join(this.#options.folder, "identity");
    await this.#replace(path, bytes);
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
    const { disk } = this.#options;
    await this.#retryWhileFull(async () => {
      await this.#fence.check();
      try {
        await disk.write(file, bytes, offset);
      } catch (error) {
        await file.truncate(offset);
        throw error;
      }
    });
    await disk.sync(file);
  }

  async #replace(path: string, bytes: Buffer): Promise<void> {
    const { disk } = this.#options;
    await this.#retryWhileFull(() => replaceFile(path, bytes, disk, () => this.#fence.checkPath()));
  }

  /**
   * The snapshot file names its segment, so that the rename of the snapshot file replaces both atomically.
   */
  async #startSegment(snapshot: LogSnapshot, entries: readonly LogEntry[]): Promise<void> {
    const segment = `log-${snapshot.index + 1}-${randomUUID().slice(0, 8)}`;
    const bytes = Buffer.concat(entries.map(encodeRecord));
    const path = join(this.#options.folder, segment);
    await this.#replace(path, bytes);
    const stored: StoredSnapshot = { snapshot, segment };
    await this.#replace(join(this.#options.folder, "snapshot"), encodeRecord(stored));
    await this.#segmentFile.close();
    this.#segmentFile = await open(path, "r+");
    this.#snapshotIndex = snapshot.index;
    this.#segment = segment;
    this.#sizeBytes = bytes.length;
    await this.#removeUnusedFiles(() => false);
  }

  async #retryWhileFull(write: () => Promise<void>): Promise<void> {
    await retryWhileFull(write, (isFull) => {
      this.#isFull = isFull;
      return !this.#isFailed;
    });
  }

  #getSyncedState(): SyncedState {
    const { replicaId, term, vote } = this.#identity;
    const snapshotIndex = this.#snapshotIndex;
    return { replicaId, term, vote, snapshotIndex, segment: this.#segment, segmentBytes: this.#sizeBytes };
  }

  /** Removes older segments and other unused files. */
  async #removeUnusedFiles(isUnused: (name: string) => boolean): Promise<void> {
    const { folder, logger } = this.#options;
    await this.#fence.checkPath();
    const isOld = (name: string): boolean => name.startsWith("log-") && name !== this.#segment;
    await removeFiles(folder, (name) => isOld(name) || isUnused(name), logger);
  }
}

/** Whether this is a temporary file that a crash left. */
function isLeftOver(name: string): boolean {
  return /^(identity|snapshot)\..*tmp$/.test(name);
}

async function openFolder(folder: string): Promise<OpenedFolder> {
  const identityPath = join(folder, "identity");
  const snapshotPath = join(folder, "snapshot");
  // Read before the files: another process may write to them meanwhile.
  const synced = await SyncedMark.read(folder);
  const snapshotSignature = await readSignature(snapshotPath);
  const stored = snapshotSignature === null ? null : await readSingleRecord<StoredSnapshot>(snapshotPath);
  const segmentName = stored?.segment ?? firstSegmentName;
  const segmentPath = join(folder, segmentName);
  const [identitySignature = null, , segmentSignature = null] = await readSignatures(folder, segmentName);
  const signatures = [identitySignature, snapshotSignature, segmentSignature];
  const identity = await readRecordFile(identityPath);
  if (identity.values.length === 0) {
    throw new StorageError(identityPath, 0, "corrupt record");
  }
  if (segmentSignature === null) {
    // Starting with an empty log under the old identity could lose entries that this replica acknowledged.
    throw new StorageError(segmentPath, null, "log segment is missing");
  }
  const segment = await readRecordFile(segmentPath);
  const firstIndex = (stored?.snapshot.index ?? 0) + 1;
  const entries = replayEntries(segment.values as LogEntry[], segmentPath, firstIndex);
  const found: SyncedState = {
    ...(identity.values.at(-1) as Identity),
    snapshotIndex: firstIndex - 1,
    segment: segmentName,
    segmentBytes: segment.sizeBytes,
  };
  const lost = synced === null ? null : findLostState(found, synced);
  if (lost !== null) {
    throw new StorageError(folder, null, lost);
  }
  const [identityFile, segmentFile] = await openBoth(identityPath, segmentPath);
  return {
    identity: { ...identity, file: identityFile },
    segment: { ...segment, file: segmentFile },
    stored,
    entries,
    signatures,
  };
}

async function openBoth(first: string, second: string): Promise<[FileHandle, FileHandle]> {
  const file = await open(first, "r+");
  try {
    return [file, await open(second, "r+")];
  } catch (error) {
    await file.close();
    throw error;
  }
}

function readSignatures(folder: string, segment: string): Promise<FolderSignatures> {
  return Promise.all(["identity", "snapshot", segment].map((name) => readSignature(join(folder, name))));
}

async function readRecordFile(path: string): Promise<StoredRecords> {
  const { values, validBytes } = readRecords(path, await readFile(path));
  return { values, sizeBytes: validBytes };
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
