import { randomUUID } from "node:crypto";
import { constants } from "node:fs";
import { open, readFile } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { join } from "node:path";
import type { DiskOperations } from "./DiskOperations";
import { FolderLostError } from "./FolderLostError";
import { ownerFileName } from "./ownerFileName";

/**
 * Ownership of a data folder. The `owner` file holds a random id of the process that wrote to the folder last; each process
 * reads it again before it writes. The file is overwritten in place, so that an open handle reads the id of the next owner.
 * It is never synced, since no owner survives a loss of power. A process that is suspended between such a read and the
 * write that follows is not detected.
 */
export class FolderFence {
  readonly #folder: string;
  readonly #disk: DiskOperations;
  readonly #id = randomUUID();
  #file: FileHandle | null = null;

  constructor(folder: string, disk: DiskOperations) {
    this.#folder = folder;
    this.#disk = disk;
  }

  get isClaimed(): boolean {
    return this.#file !== null;
  }

  get #path(): string {
    return join(this.#folder, ownerFileName);
  }

  /** Makes this process the owner of the folder. */
  async claim(): Promise<void> {
    const file = await open(this.#path, constants.O_RDWR | constants.O_CREAT);
    try {
      await this.#disk.write(file, Buffer.from(this.#id), 0);
    } catch (error) {
      await file.close();
      throw error;
    }
    this.#file = file;
  }

  /** Throws a `FolderLostError` when another process owns the files that this one has open. */
  async check(): Promise<void> {
    const bytes = Buffer.alloc(this.#id.length);
    await this.#file?.read(bytes, 0, bytes.length, 0);
    this.#require(bytes.toString());
  }

  /** Throws a `FolderLostError` when another process owns the folder at this path, or the folder is gone. */
  async checkPath(): Promise<void> {
    let id = "";
    try {
      id = await readFile(this.#path, "latin1");
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== "ENOENT") {
        throw error;
      }
    }
    this.#require(id);
  }

  async close(): Promise<void> {
    await this.#file?.close();
  }

  #require(id: string): void {
    if (id !== this.#id) {
      throw new FolderLostError(this.#folder, "was taken over by another process");
    }
  }
}
