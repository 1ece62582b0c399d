import { constants } from "node:fs";
import { open, readFile } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { join } from "node:path";
import type { Logger } from "roarr";
import type { DiskOperations } from "./DiskOperations";
import type { SyncedState } from "./SyncedState";
import { encodeRecord } from "./encodeRecord";
import { readFirstRecord } from "./readFirstRecord";

const markName = "synced";

/**
 * File that tells what was synced, to distinguish damage at the end of a log from a torn write, which was never acknowledged.
 * It is overwritten in place after each acknowledgement and never synced, so that nothing waits for it: after a loss of power
 * it may tell of an earlier state or be torn, but never of one that was not synced.
 */
export class SyncedMark {
  readonly #path: string;
  readonly #disk: DiskOperations;
  readonly #logger: Logger | null;
  #file: FileHandle | null = null;
  #unsaved: SyncedState | null = null;
  #saving: Promise<void> | null = null;

  constructor(folder: string, disk: DiskOperations, logger: Logger | null) {
    this.#path = join(folder, markName);
    this.#disk = disk;
    this.#logger = logger;
  }

  /** The state that the file tells of; null if it is missing or torn. */
  static async read(folder: string): Promise<SyncedState | null> {
    try {
      return readFirstRecord(await readFile(join(folder, markName))) as SyncedState | null;
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== "ENOENT") {
        throw error;
      }
      return null;
    }
  }

  /** Saves a state that is synced; of several calls during a write, the last one is saved after it. */
  save(state: SyncedState): void {
    this.#unsaved = state;
    this.#saving ??= this.#saveAll();
  }

  async close(): Promise<void> {
    await this.#saving;
    await this.#file?.close();
  }

  async #saveAll(): Promise<void> {
    try {
      while (this.#unsaved !== null) {
        const bytes = encodeRecord(this.#unsaved);
        this.#unsaved = null;
        this.#file ??= await open(this.#path, constants.O_RDWR | constants.O_CREAT);
        await this.#disk.write(this.#file, bytes, 0);
      }
    } catch (error) {
      // An older mark tells less, but nothing wrong.
      this.#logger?.warn({ path: this.#path, error: String(error) }, "mark of the synced state not saved");
    }
    this.#saving = null;
  }
}
