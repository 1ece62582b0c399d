import type { Random } from "@clementinemux/common/Random";
import type { RoutedService } from "@clementinemux/routes/RoutedService";
import type { Crowding } from "./Crowding";

/** Shortest and longest time after which a refused caller is asked to return, in ms. */
const leastMs = 300;
const mostMs = 1500;
/** A group whose passes are slow is quick again about this long after other experts came into demand. */
const slowedMs = 900;
/** Of the time in which a broken group forms again: its lost rank has to come back first. */
const formingFactor = 1.5;
/** Callers that are refused together return spread over this share of the wait. */
const spreadShare = 0.5;

/**
 * Time until a place of the service is likely to be free, spread so that refused callers do not return together.
 * Targets that all want nothing for a while are not asked before the first of them does.
 * Ranks that turn a request away (`isTurnedAway`) belong to a group that forms again.
 */
export function estimateRetryMs(
  { engine }: RoutedService,
  { meanLoad, cap, slots, pauseMs }: Crowding,
  isTurnedAway: boolean,
  random: Random,
): number {
  if (pauseMs !== null) {
    return pauseMs * (1 + random() * spreadShare);
  }
  const crowding = slots === 0 ? 1 : Math.max(0, meanLoad / slots - 0.8);
  const isSlowed = engine !== null && cap < slots;
  const formingMs = isTurnedAway ? (engine?.experts?.formMs ?? 0) * formingFactor : 0;
  const waitMs = Math.min(mostMs, Math.max(isSlowed ? slowedMs : leastMs, formingMs, crowding * mostMs));
  return waitMs * (1 - spreadShare / 2 + random() * spreadShare);
}
