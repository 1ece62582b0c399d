import { open, rename } from "node:fs/promises";
import { dirname } from "node:path";
import type { DiskOperations } from "./DiskOperations";

/** Replaces a file atomically: after a crash it has either the old or the new content in full. */
export async function replaceFile(path: string, bytes: Buffer, disk: DiskOperations): Promise<void> {
  const temporary = `${path}.tmp`;
  const file = await open(temporary, "w");
  try {
    await disk.write(file, bytes, 0);
    await disk.sync(file);
  } finally {
    await file.close();
  }
  await rename(temporary, path);
  // The rename itself is durable only after the sync of the folder.
  await disk.syncFolder(dirname(path));
}
