import { open } from "node:fs/promises";

/** Makes the names in a folder durable: files that were created, renamed or removed in it. */
export async function syncFolder(path: string): Promise<void> {
  const folder = await open(path, "r");
  try {
    await folder.sync();
  } finally {
    await folder.close();
  }
}
