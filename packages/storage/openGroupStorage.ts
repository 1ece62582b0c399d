import { setTimeout as delay } from "node:timers/promises";
import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import type { DiskOperations } from "./DiskOperations";
import { GroupStorage } from "./GroupStorage";
import { StorageError } from "./StorageError";
import { setDamagedFilesAside } from "./setDamagedFilesAside";
import { systemDisk } from "./systemDisk";

interface OpenOptions {
  readonly folder: string;
  readonly onFatal: (error: Error) => void;
  /** The disk of this machine by default. */
  readonly disk?: DiskOperations | undefined;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Codes of errors that tell of a folder in the place of a file, or the other way round. */
const wrongKindCodes = new Set(["ENOTDIR", "EISDIR", "EEXIST"]);
/** Files that another process replaces while they are read look damaged, but not each time. */
const maxDamagedReads = 3;
const damagedRetryMs = 200;
const failedRetryMs = 1000;

/**
 * Opens a data folder as soon as that is possible. Damaged files are set aside, and the replica starts with a new identity:
 * with an incomplete log or without its votes, it must not act as the earlier one. Other errors, as for a folder without
 * permissions or a device that fails, tell nothing about the content of the files: opening is tried again.
 */
export async function openGroupStorage(options: OpenOptions): Promise<GroupStorage> {
  const { folder, onFatal, disk = systemDisk, clock, logger } = options;
  let damagedReads = 0;
  for (;;) {
    try {
      return await GroupStorage.open(folder, onFatal, disk, logger);
    } catch (error) {
      if (!isDamage(error)) {
        await waitAfterFailure(folder, error, logger);
        continue;
      }
      damagedReads += 1;
      logger.warn({ folder, error: String(error) }, "data folder is damaged");
    }
    if (damagedReads < maxDamagedReads) {
      await delay(damagedRetryMs);
      continue;
    }
    try {
      const files = await setDamagedFilesAside(folder, disk, clock.wallMs());
      logger.error({ folder, files }, "damaged files set aside: this replica joins as a new one");
      damagedReads = 0;
    } catch (error) {
      await waitAfterFailure(folder, error, logger);
    }
  }
}

function isDamage(error: unknown): boolean {
  return error instanceof StorageError || wrongKindCodes.has((error as NodeJS.ErrnoException).code ?? "");
}

/** Throws errors that do not come from the file system. */
async function waitAfterFailure(folder: string, error: unknown, logger: Logger): Promise<void> {
  if ((error as NodeJS.ErrnoException).code === undefined) {
    throw error;
  }
  logger.warn({ folder, error: String(error) }, "data folder cannot be opened yet");
  await delay(failedRetryMs);
}
