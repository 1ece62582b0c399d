import type { Random } from "@clementinemux/common/Random";
import type { RoutedService } from "@clementinemux/routes/RoutedService";
import type { FleetView } from "./FleetView";
import type { TargetLoads } from "./TargetLoads";

/** Shortest and longest time after which a refused caller is asked to return, in ms. */
const leastMs = 300;
const mostMs = 1500;
/** Callers that are refused together return spread over this share of the wait. */
const spreadShare = 0.5;

/** Time until a place of the service is likely to be free, spread so that refused callers do not return together. */
export function estimateRetryMs(
  { name, engine }: RoutedService,
  view: FleetView,
  loads: TargetLoads,
  random: Random,
): number {
  const targets = view.listOpenTargets(name);
  const slots = targets.reduce((sum, target) => sum + (engine?.slots ?? target.slots), 0);
  const load = targets.reduce((sum, target) => sum + loads.getLoad(target), 0);
  const crowding = slots === 0 ? 1 : Math.max(0, load / slots - 0.8);
  const waitMs = Math.min(mostMs, Math.max(leastMs, crowding * mostMs));
  return waitMs * (1 - spreadShare / 2 + random() * spreadShare);
}
