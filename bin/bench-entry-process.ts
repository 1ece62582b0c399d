import { EntryServer } from "@clementinemux/entry/EntryServer";
import { EntrySettings } from "@clementinemux/entry/EntrySettings";
import { startFromSettings } from "@clementinemux/settings/startFromSettings";

// The entry as the bench starts it: it tells its memory in use when asked, which a daemon does not.
process.on("message", () => {
  globalThis.gc?.();
  const { heapUsed, external, arrayBuffers } = process.memoryUsage();
  process.send?.(heapUsed + external + arrayBuffers);
});

startFromSettings("bench-entry-process", EntrySettings, async (settings) => {
  await new EntryServer(settings).start();
});
