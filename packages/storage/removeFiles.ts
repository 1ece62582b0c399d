import { readdir, unlink } from "node:fs/promises";
import { join } from "node:path";
import type { Logger } from "roarr";

/** Removes files of a folder that are no longer used. One that is gone already, or cannot be removed, has no other effect. */
export async function removeFiles(
  folder: string,
  isUnused: (name: string) => boolean,
  logger: Logger | null,
): Promise<void> {
  const names = (await readdir(folder)).filter(isUnused);
  await Promise.all(
    names.map(async (name) => {
      const path = join(folder, name);
      try {
        await unlink(path);
      } catch (error) {
        if ((error as NodeJS.ErrnoException).code !== "ENOENT") {
          logger?.warn({ path, error: String(error) }, "unused file cannot be removed");
        }
      }
    }),
  );
}
