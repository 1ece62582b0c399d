import { SystemClock } from "@clementinemux/common/SystemClock";
import { ControlServer } from "@clementinemux/control/ControlServer";
import { ControlSettings } from "@clementinemux/control/ControlSettings";
import { startFromSettings } from "@clementinemux/settings/startFromSettings";

startFromSettings("clementinemux-control", ControlSettings, (settings) =>
  new ControlServer(settings, new SystemClock()).start(),
);
