import { readdirSync, statSync, truncateSync } from "node:fs";
import { join } from "node:path";
import type { DiskOperations } from "@clementinemux/storage/DiskOperations";
import { systemDisk } from "@clementinemux/storage/systemDisk";

type File = Parameters<DiskOperations["sync"]>[0];

/** Disk that loses the ends of files that were not synced when its power was cut. */
export class VolatileDisk implements DiskOperations {
  readonly #syncedBytes = new Map<number, number>();
  #isCut = false;

  async write(file: File, bytes: Buffer, offset: number): Promise<void> {
    const { ino, size } = await file.stat();
    if (size === 0) {
      this.#syncedBytes.set(ino, 0);
    }
    await systemDisk.write(file, bytes, offset);
  }

  async sync(file: File): Promise<void> {
    const { ino, size } = await file.stat();
    await systemDisk.sync(file);
    if (!this.#isCut) {
      this.#syncedBytes.set(ino, size);
    }
  }

  syncFolder(path: string): Promise<void> {
    return systemDisk.syncFolder(path);
  }

  /** What is synced from now on is lost as well. */
  cutPower(): void {
    this.#isCut = true;
  }

  /** Drops what was not synced from the files of a folder, whose process has ended, and turns the power on again. */
  restorePower(folder: string): void {
    this.#isCut = false;
    for (const name of readdirSync(folder, { recursive: true, encoding: "utf8" })) {
      const path = join(folder, name);
      const { ino, size } = statSync(path);
      const syncedBytes = this.#syncedBytes.get(ino) ?? size;
      if (syncedBytes < size) {
        truncateSync(path, syncedBytes);
      }
    }
  }
}
