import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Creates a temporary folder for a replica without a disk; it is removed when the process exits. */
export function createVolatileFolder(): string {
  const folder = mkdtempSync(join(tmpdir(), "clementinemux-coordinator-"));
  process.once("exit", () => {
    rmSync(folder, { recursive: true, force: true });
  });
  return folder;
}
