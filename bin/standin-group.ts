import { startFromSettings } from "@clementinemux/settings/startFromSettings";
import { GroupServer } from "@clementinemux/standins/group/GroupServer";
import { GroupSettings } from "@clementinemux/standins/group/GroupSettings";

startFromSettings("standin-group", GroupSettings, async (settings) => {
  await new GroupServer(settings).listen();
});
