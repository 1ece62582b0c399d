import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

let collect: (() => void) | null = null;

/** Returns the heap in use after a full garbage collection. */
export function getUsedHeapBytes(): number {
  if (collect === null) {
    // `gc` is exposed only in contexts that are created after the flag is set.
    setFlagsFromString("--expose-gc");
    collect = runInNewContext("gc") as () => void;
  }
  collect();
  collect();
  return process.memoryUsage().heapUsed;
}
