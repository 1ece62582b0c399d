import type { FileHandle } from "node:fs/promises";

/** Writes and syncs, replaceable in tests by ones that fail. */
export interface DiskOperations {
  write(file: FileHandle, bytes: Buffer, offset: number): Promise<void>;
  sync(file: FileHandle): Promise<void>;
}
