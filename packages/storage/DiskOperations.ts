import type { FileHandle } from "node:fs/promises";

/** Writes and syncs of files; tests replace them by operations that fail. */
export interface DiskOperations {
  write(file: FileHandle, bytes: Buffer, offset: number): Promise<void>;
  sync(file: FileHandle): Promise<void>;
}
