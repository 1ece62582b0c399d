import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

let collect: (() => void) | null = null;

/** Heap in use after a full collection. */
export function getUsedHeapBytes(): number {
  if (collect === null) {
    // The flag has an effect on contexts created after it.
    setFlagsFromString("--expose-gc");
    collect = runInNewContext("gc") as () => void;
  }
  collect();
  collect();
  return process.memoryUsage().heapUsed;
}
