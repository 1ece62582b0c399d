import "@clementinemux/lifecycle/installSignals";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { ControlServer } from "@clementinemux/control/ControlServer";
import { ControlSettings } from "@clementinemux/control/ControlSettings";
import { getProcessSignals } from "@clementinemux/lifecycle/getProcessSignals";
import { createLogger } from "@clementinemux/logging/createLogger";
import { startFromSettings } from "@clementinemux/settings/startFromSettings";

startFromSettings("clementinemux-control", ControlSettings, async (settings) => {
  await getProcessSignals().setHandler({
    logger: createLogger("clementinemux-control", { name: settings.name }),
    stop: () => Promise.resolve(0),
  });
  await new ControlServer(settings, new SystemClock()).start();
});
