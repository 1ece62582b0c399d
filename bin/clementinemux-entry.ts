import "@clementinemux/lifecycle/installSignals";
import { EntryServer } from "@clementinemux/entry/EntryServer";
import { EntrySettings } from "@clementinemux/entry/EntrySettings";
import { getProcessSignals } from "@clementinemux/lifecycle/getProcessSignals";
import { createLogger } from "@clementinemux/logging/createLogger";
import { startFromSettings } from "@clementinemux/settings/startFromSettings";

startFromSettings("clementinemux-entry", EntrySettings, async (settings) => {
  const entry = new EntryServer(settings);
  await getProcessSignals().setHandler({
    logger: createLogger("clementinemux-entry", { entry: settings.name }),
    stop: async () => {
      await entry.shutDown();
      return 0;
    },
  });
  await entry.start();
});
