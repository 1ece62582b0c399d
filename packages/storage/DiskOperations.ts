import type { FileHandle } from "node:fs/promises";

/** Writes and syncs of files; tests replace them by operations that fail or are slow. */
export interface DiskOperations {
  write(file: FileHandle, bytes: Buffer, offset: number): Promise<void>;
  sync(file: FileHandle): Promise<void>;
  /** Makes the creation, renaming and removal of files in a folder durable. */
  syncFolder(path: string): Promise<void>;
}
