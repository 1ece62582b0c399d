import { randomUUID } from "node:crypto";
import { open, rename, unlink } from "node:fs/promises";
import { dirname } from "node:path";
import type { DiskOperations } from "./DiskOperations";

/**
 * Replaces a file atomically: after a crash it has either the old or the new content in full. The name of the temporary file
 * is unique, so that two processes cannot mix their content; a crash may leave the temporary file, whose name ends in ".tmp".
 * `confirm` is called just before the file is replaced, and prevents that by an error.
 */
export async function replaceFile(
  path: string,
  bytes: Buffer,
  disk: DiskOperations,
  confirm: () => Promise<void> = () => Promise.resolve(),
): Promise<void> {
  const temporary = `${path}.${randomUUID().slice(0, 8)}.tmp`;
  try {
    await writeFile(temporary, bytes, disk);
    await confirm();
    await rename(temporary, path);
  } catch (error) {
    // The first error counts: that the file may be left over has no further effect.
    await unlink(temporary).catch(() => undefined);
    throw error;
  }
  // The rename itself is durable only after the sync of the folder.
  await disk.syncFolder(dirname(path));
}

async function writeFile(path: string, bytes: Buffer, disk: DiskOperations): Promise<void> {
  const file = await open(path, "w");
  try {
    await disk.write(file, bytes, 0);
    await disk.sync(file);
  } finally {
    await file.close();
  }
}
