import { getUsedHeapBytes } from "../getUsedHeapBytes";

/** Heap that a structure of many items holds, after a collection. */
export function measureHeldBytes(create: () => unknown): number {
  // A first one compiles the code, whose memory would otherwise be counted.
  create();
  const before = getUsedHeapBytes();
  const held = [create()];
  const bytes = getUsedHeapBytes() - before;
  // Keeps the structure alive until the second reading.
  held.pop();
  return bytes;
}
