import type { CallerRequest } from "./CallerRequest";
import type { RequestDuration } from "./RequestDuration";
import type { Route } from "@clementinemux/routes/Route";

interface DurationInput {
  readonly route: Pick<Route, "objectiveMs" | "gapObjectiveMs" | "timeoutMs">;
  readonly caller: Pick<CallerRequest, "leftMs" | "maxAnswerTokens">;
  /** Tokens per event of a stream. */
  readonly stride: number;
  /** Recent mean time between the events of a stream, in ms; null while it is not known. */
  readonly meanGapMs: number | null;
}

/**
 * Forward passes vary in time; a stream of many events takes at most this multiple of what the mean predicts.
 */
const gapMargin = 1.25;

/**
 * Predicts how long a request takes: a stream by its maximum number of events, any other request by its time
 * limit.
 */
export function predictDuration({ route, caller, stride, meanGapMs }: DurationInput): RequestDuration {
  const latestMs = Math.min(route.timeoutMs, caller.leftMs ?? Infinity);
  const isKnown = route.gapObjectiveMs > 0 && caller.maxAnswerTokens > 0;
  const events = Math.ceil(caller.maxAnswerTokens / stride);
  const streamMs = route.objectiveMs + events * (meanGapMs ?? route.gapObjectiveMs) * gapMargin;
  return { expectedMs: isKnown ? Math.min(latestMs, streamMs) : latestMs, latestMs };
}
