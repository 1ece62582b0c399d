import type { TargetIncarnation } from "@clementinemux/registry/TargetIncarnation";
import type { FleetView } from "./FleetView";
import type { TargetNotices } from "./TargetNotices";

/** Targets that reported that they are leaving, but that the coordinators do not list as leaving. */
export function listUnlistedLeaving(view: FleetView, notices: TargetNotices): TargetIncarnation[] {
  const listedIds = new Set(view.state.targets.filter(({ isLeaving }) => isLeaving).map(({ id }) => id));
  return notices.listLeaving().filter(({ id }) => !listedIds.has(id));
}
