import { EntryServer } from "@clementinemux/entry/EntryServer";
import { EntrySettings } from "@clementinemux/entry/EntrySettings";
import { startFromSettings } from "@clementinemux/settings/startFromSettings";

startFromSettings("clementinemux-entry", EntrySettings, (settings) => new EntryServer(settings).start());
