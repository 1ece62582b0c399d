import type { Route } from "@clementinemux/routes/Route";

// Callers wait for the longest of these times before they abandon a stream.
const objectiveFactor = 4;
const gapObjectiveFactor = 8;

/**
 * Time without an event after which a stream of the route is ended, in ms; null for routes without a longest
 * pause.
 */
export function computeStallTimeoutMs(
  { objectiveMs, gapObjectiveMs }: Pick<Route, "objectiveMs" | "gapObjectiveMs">,
  minStallMs: number,
): number | null {
  return gapObjectiveMs === 0
    ? null
    : Math.max(minStallMs, objectiveMs * objectiveFactor, gapObjectiveMs * gapObjectiveFactor);
}
