import "@clementinemux/lifecycle/installSignals";
import { AgentSettings } from "@clementinemux/agent/AgentSettings";
import { runAgent } from "@clementinemux/agent/runAgent";
import { startFromSettings } from "@clementinemux/settings/startFromSettings";

startFromSettings("clementinemux-agent", AgentSettings, runAgent);
