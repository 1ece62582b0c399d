import { EntryServer } from "@clementinemux/entry/EntryServer";
import { EntrySettings } from "@clementinemux/entry/EntrySettings";
import { ProcessSignals } from "@clementinemux/lifecycle/ProcessSignals";
import { createLogger } from "@clementinemux/logging/createLogger";
import { startFromSettings } from "@clementinemux/settings/startFromSettings";

startFromSettings("clementinemux-entry", EntrySettings, async (settings) => {
  const entry = new EntryServer(settings);
  new ProcessSignals(process).setHandler({
    logger: createLogger("clementinemux-entry", { entry: settings.name }),
    stop: async () => {
      await entry.shutDown();
      return 0;
    },
  });
  await entry.start();
});
