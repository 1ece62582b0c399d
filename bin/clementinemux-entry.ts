import { EntryServer } from "@clementinemux/entry/EntryServer";
import { EntrySettings } from "@clementinemux/entry/EntrySettings";
import { startFromSettings } from "@clementinemux/settings/startFromSettings";

startFromSettings("clementinemux-entry", EntrySettings, async (settings) => {
  const entry = new EntryServer(settings);
  process.on("SIGTERM", () => {
    void entry.shutDown().then(() => process.exit(0));
  });
  await entry.start();
});
