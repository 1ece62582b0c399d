import "@clementinemux/lifecycle/installSignals";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { ControlServer } from "@clementinemux/control/ControlServer";
import { ControlSettings } from "@clementinemux/control/ControlSettings";
import { getProcessSignals } from "@clementinemux/lifecycle/getProcessSignals";
import { createLogger } from "@clementinemux/logging/createLogger";
import { startFromSettings } from "@clementinemux/settings/startFromSettings";

startFromSettings("clementinemux-control", ControlSettings, async (settings) => {
  const control = new ControlServer(settings, new SystemClock());
  await getProcessSignals().setHandler({
    logger: createLogger("clementinemux-control", { name: settings.name }),
    stop: async () => {
      await control.shutDown();
      return 0;
    },
  });
  await control.start();
});
