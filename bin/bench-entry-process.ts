import { EntryServer } from "@clementinemux/entry/EntryServer";
import { EntrySettings } from "@clementinemux/entry/EntrySettings";
import { startFromSettings } from "@clementinemux/settings/startFromSettings";

// Entry for benchmarks: reports its memory in use after a garbage collection when it receives a message.
process.on("message", () => {
  globalThis.gc?.();
  const { heapUsed, external, arrayBuffers } = process.memoryUsage();
  process.send?.(heapUsed + external + arrayBuffers);
});

startFromSettings("bench-entry-process", EntrySettings, async (settings) => {
  await new EntryServer(settings).start();
});
