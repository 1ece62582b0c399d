import { randomUUID } from "node:crypto";
import { open, readdir, rename, unlink } from "node:fs/promises";
import { dirname, join } from "node:path";
import type { DiskOperations } from "./DiskOperations";
import type { Identity } from "./Identity";
import { StorageError } from "./StorageError";
import { damagedPrefix } from "./damagedPrefix";
import { encodeRecord } from "./encodeRecord";
import { firstSegmentName } from "./firstSegmentName";
import { isGroupFile } from "./isGroupFile";
import { readSignature } from "./readSignature";

/**
 * Creates the files of a replica with a new identity, in a folder without those of another one. Where files were set aside,
 * the identity says so for good, so that the replica never creates a group.
 */
export async function createGroupFiles(folder: string, disk: DiskOperations): Promise<void> {
  const names = await readdir(folder);
  const log = await readSignature(join(folder, firstSegmentName));
  // An empty log is left by a crash within this function, or by another process that creates the files at the same time.
  const isOwn = (name: string): boolean => name !== firstSegmentName || (log?.sizeBytes ?? 0) > 0;
  const existing = names.filter((name) => isGroupFile(name) && isOwn(name));
  if (existing.length > 0) {
    throw new StorageError(folder, null, `identity file is missing but ${existing.join(", ")} exist`);
  }
  const isReplacement = names.some((name) => name.startsWith(damagedPrefix));
  const identity: Identity = { replicaId: randomUUID(), term: 0, vote: null, isReplacement };
  const path = join(folder, "identity");
  const temporaryPath = `${path}.${randomUUID().slice(0, 8)}.tmp`;
  try {
    await writeNewFiles(folder, temporaryPath, encodeRecord(identity), disk);
    await rename(temporaryPath, path);
  } catch (error) {
    // The first error counts: that the file may be left over has no further effect.
    await unlink(temporaryPath).catch(() => undefined);
    throw error;
  }
  await disk.syncFolder(folder);
}

async function writeNewFiles(
  folder: string,
  identityPath: string,
  identity: Buffer,
  disk: DiskOperations,
): Promise<void> {
  const temporary = await open(identityPath, "w");
  // Another process may have begun this file.
  const segment = await open(join(folder, firstSegmentName), "a");
  try {
    await disk.write(temporary, identity, 0);
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
}
