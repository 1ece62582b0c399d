import { randomUUID } from "node:crypto";
import { open, readdir, rename } from "node:fs/promises";
import { dirname, join } from "node:path";
import type { DiskOperations } from "./DiskOperations";
import type { Identity } from "./Identity";
import { StorageError } from "./StorageError";
import { encodeRecord } from "./encodeRecord";
import { firstSegmentName } from "./firstSegmentName";
import { ownerFileName } from "./ownerFileName";

/** Creates the files of a replica with a new identity. Throws a `StorageError` if the folder holds those of another one. */
export async function createGroupFiles(folder: string, disk: DiskOperations): Promise<void> {
  const existing = (await readdir(folder)).filter(
    (name) => !name.endsWith(".tmp") && ![firstSegmentName, ownerFileName].includes(name),
  );
  if (existing.length > 0) {
    throw new StorageError(folder, null, `identity file is missing but ${existing.join(", ")} exist`);
  }
  const identity: Identity = { replicaId: randomUUID(), term: 0, vote: null };
  const path = join(folder, "identity");
  const temporaryPath = `${path}.${randomUUID().slice(0, 8)}.tmp`;
  const temporary = await open(temporaryPath, "w");
  // Another process may have begun this file.
  const segment = await open(join(folder, firstSegmentName), "a");
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
  await rename(temporaryPath, path);
  await disk.syncFolder(folder);
}
