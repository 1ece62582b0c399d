import { SystemClock } from "@clementinemux/common/SystemClock";
import { ControlServer } from "@clementinemux/control/ControlServer";
import { ControlSettings } from "@clementinemux/control/ControlSettings";
import { ProcessSignals } from "@clementinemux/lifecycle/ProcessSignals";
import { createLogger } from "@clementinemux/logging/createLogger";
import { startFromSettings } from "@clementinemux/settings/startFromSettings";

startFromSettings("clementinemux-control", ControlSettings, (settings) => {
  new ProcessSignals(process).setHandler({
    logger: createLogger("clementinemux-control", { name: settings.name }),
    stop: () => Promise.resolve(0),
  });
  return new ControlServer(settings, new SystemClock()).start();
});
