import { open } from "node:fs/promises";
import type { FileSignature } from "./FileSignature";
import { recordHeaderBytes } from "./recordHeaderBytes";

/** Signature of a file of records; null if there is no such file. */
export async function readSignature(path: string): Promise<FileSignature | null> {
  const file = await open(path, "r").catch((error: unknown) => {
    if ((error as NodeJS.ErrnoException).code === "ENOENT") {
      return null;
    }
    throw error;
  });
  if (file === null) {
    return null;
  }
  try {
    const { size } = await file.stat();
    const header = Buffer.alloc(recordHeaderBytes);
    await file.read(header, 0, recordHeaderBytes, 0);
    return { sizeBytes: size, firstRecord: header.toString("hex") };
  } finally {
    await file.close();
  }
}
