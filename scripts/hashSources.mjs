import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import { globSync } from "./globSync.mjs";

const folders = ["packages", "platform", "bin", "scripts"];
const hashLength = 12;

/** Hash of everything that goes into a bundle: the sources without tests, the build scripts and the versions of the libraries. */
export function hashSources() {
  const hash = createHash("sha256");
  const isSource = (path) => !/(^|\/)test\//.test(path);
  for (const path of ["package-lock.json", ...folders.flatMap((folder) => globSync(folder, isSource))]) {
    hash.update(`${path}\0`).update(readFileSync(path)).update("\0");
  }
  return hash.digest("hex").slice(0, hashLength);
}
