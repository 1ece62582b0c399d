import type { FileHandle } from "node:fs/promises";
import type { FileSignature } from "./FileSignature";

/** Removes what follows the valid records of a file; a file without a torn record is not touched. */
export async function cutTornRecord(
  file: FileHandle,
  signature: FileSignature | null,
  validBytes: number,
): Promise<void> {
  if (signature !== null && signature.sizeBytes > validBytes) {
    await file.truncate(validBytes);
  }
}
