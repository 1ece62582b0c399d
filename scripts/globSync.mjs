import { readdirSync } from "node:fs";
import { join } from "node:path";

/** Lists the files below a folder whose path passes the filter, sorted, without node_modules. */
export function globSync(folder, accept) {
  return readdirSync(folder, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile())
    .map((entry) => join(entry.parentPath ?? entry.path, entry.name))
    .filter((path) => !path.includes("node_modules") && accept(path))
    .sort();
}
