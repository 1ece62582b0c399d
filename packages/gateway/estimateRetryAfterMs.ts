import type { Random } from "@clementinemux/common/Random";
import type { RoutedService } from "@clementinemux/routes/RoutedService";
import type { ServiceLoad } from "./ServiceLoad";

/** Shortest and longest delay before a rejected caller should retry, in ms. */
const minRetryMs = 300;
const maxRetryMs = 1500;
/** Longest delay by the estimate of a queue; a longer estimate is likely to be outdated before its end. */
const maxQueueRetryMs = 10_000;
/** A group with slow forward passes recovers about this long after the demand for experts has changed. */
const slowGroupRetryMs = 900;
/** Multiple of the recovery time of a broken group: its lost rank has to restart first. */
const recoveryFactor = 1.5;
/** Callers that are rejected together retry spread over this share of the delay. */
const spreadShare = 0.5;

/**
 * Time until a slot of the service is likely to be free, spread so that rejected callers do not retry
 * together. If all targets pause, callers return only after the first pause ends. If ranks reject a request
 * (`isRejected`), their group is recovering. `queueWaitMs` is the time by the queue of the service, if it has one.
 */
export function estimateRetryAfterMs(
  { engine }: RoutedService,
  { meanLoad, cap, slots, pauseMs }: ServiceLoad,
  isRejected: boolean,
  random: Random,
  queueWaitMs: number | null = null,
): number {
  if (pauseMs !== null) {
    return pauseMs * (1 + random() * spreadShare);
  }
  const overload = slots === 0 ? 1 : Math.max(0, meanLoad / slots - 0.8);
  const isSlowed = engine !== null && cap < slots;
  const recoveryMs = isRejected ? (engine?.experts?.formMs ?? 0) * recoveryFactor : 0;
  const placeMs = queueWaitMs ?? overload * maxRetryMs;
  const waitMs = Math.min(
    queueWaitMs === null ? maxRetryMs : maxQueueRetryMs,
    Math.max(isSlowed ? slowGroupRetryMs : minRetryMs, recoveryMs, placeMs),
  );
  return waitMs * (1 - spreadShare / 2 + random() * spreadShare);
}
