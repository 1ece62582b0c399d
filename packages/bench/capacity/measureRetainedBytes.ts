import { getUsedHeapBytes } from "../getUsedHeapBytes";

/** Returns the heap that a data structure retains after a garbage collection. */
export function measureRetainedBytes(create: () => unknown): number {
  // Warm-up: compiles the code, whose memory would otherwise be counted.
  create();
  const before = getUsedHeapBytes();
  const retained = [create()];
  const bytes = getUsedHeapBytes() - before;
  // Keeps the structure reachable until the second measurement.
  retained.pop();
  return bytes;
}
