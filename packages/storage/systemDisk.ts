import type { DiskOperations } from "./DiskOperations";
import { syncFolder } from "./syncFolder";

/** Writes and syncs on the file system of this machine. */
export const systemDisk: DiskOperations = {
  async write(file, bytes, offset) {
    let written = 0;
    while (written < bytes.length) {
      const result = await file.write(bytes, written, bytes.length - written, offset + written);
      written += result.bytesWritten;
    }
  },
  async sync(file) {
    await file.datasync();
  },
  syncFolder,
};
