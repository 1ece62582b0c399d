import { open } from "node:fs/promises";

/** Makes the creation, renaming and removal of files in a folder durable. */
export async function syncFolder(path: string): Promise<void> {
  const folder = await open(path, "r");
  try {
    await folder.sync();
  } finally {
    await folder.close();
  }
}
