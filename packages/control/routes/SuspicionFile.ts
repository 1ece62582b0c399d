import { readFile } from "node:fs/promises";
import { basename, dirname } from "node:path";
import { decode, encode } from "cbor-x";
import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import type { Suspicion } from "@clementinemux/crashes/Suspicion";
import type { DiskOperations } from "@clementinemux/storage/DiskOperations";
import { removeFiles } from "@clementinemux/storage/removeFiles";
import { replaceFile } from "@clementinemux/storage/replaceFile";

interface SuspicionFileOptions {
  readonly path: string;
  readonly disk: DiskOperations;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface SavedSuspicions {
  readonly savedAtWallMs: number;
  readonly suspicions: readonly Suspicion[];
}

/**
 * Keeps what a coordinator suspects of crashing targets over a restart of all processes. Without the file, each suspect would
 * crash targets again. A failure to write it is logged and has no other effect.
 */
export class SuspicionFile {
  readonly #options: SuspicionFileOptions;
  #unsaved: readonly Suspicion[] | null = null;
  #isSaving = false;
  #hasRemovedLeftOvers = false;

  constructor(options: SuspicionFileOptions) {
    this.#options = options;
  }

  /** Suspicions that are still in force by the time of day; none if the file is missing or cannot be read. */
  async load(): Promise<readonly Suspicion[]> {
    const { path, clock, logger } = this.#options;
    try {
      const { savedAtWallMs, suspicions } = decode(await readFile(path)) as SavedSuspicions;
      // The time of day may have been set back.
      const passedMs = Math.max(0, clock.wallMs() - savedAtWallMs);
      return suspicions
        .map((item) => ({ ...item, ageMs: item.ageMs + passedMs, leftMs: item.leftMs - passedMs }))
        .filter(({ leftMs }) => leftMs > 0);
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== "ENOENT") {
        logger.warn({ path, error: String(error) }, "suspicions cannot be read");
      }
      return [];
    }
  }

  /** Saves the suspicions; of several calls during a write, the last one is saved after it. */
  save(suspicions: readonly Suspicion[]): void {
    this.#unsaved = suspicions;
    if (!this.#isSaving) {
      this.#isSaving = true;
      void this.#saveAll();
    }
  }

  async #saveAll(): Promise<void> {
    const { path, disk, clock, logger } = this.#options;
    for (let next = this.#takeUnsaved(); next !== null; next = this.#takeUnsaved()) {
      const saved: SavedSuspicions = { savedAtWallMs: clock.wallMs(), suspicions: next };
      try {
        await this.#removeLeftOvers();
        await replaceFile(path, encode(saved), disk);
      } catch (error) {
        logger.warn({ path, error: String(error) }, "suspicions cannot be saved");
      }
    }
    this.#isSaving = false;
  }

  /** Removes temporary files that a crash left, before this process writes its first one. */
  async #removeLeftOvers(): Promise<void> {
    if (!this.#hasRemovedLeftOvers) {
      this.#hasRemovedLeftOvers = true;
      const { path, logger } = this.#options;
      const prefix = `${basename(path)}.`;
      await removeFiles(dirname(path), (name) => name.startsWith(prefix) && name.endsWith(".tmp"), logger);
    }
  }

  #takeUnsaved(): readonly Suspicion[] | null {
    const unsaved = this.#unsaved;
    this.#unsaved = null;
    return unsaved;
  }
}
