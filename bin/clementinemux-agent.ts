import { Agent } from "@clementinemux/agent/Agent";
import { AgentSettings } from "@clementinemux/agent/AgentSettings";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { startFromSettings } from "@clementinemux/settings/startFromSettings";

startFromSettings("clementinemux-agent", AgentSettings, (settings) =>
  new Agent(settings, new SystemClock()).start(),
);
