import type { CallerRequest } from "./CallerRequest";
import type { RequestDuration } from "./RequestDuration";
import type { Route } from "@clementinemux/routes/Route";

interface DurationInput {
  readonly route: Pick<Route, "objectiveMs" | "gapObjectiveMs" | "timeoutMs">;
  readonly caller: Pick<CallerRequest, "leftMs" | "maxAnswerTokens">;
  /** Tokens in one event of a stream. */
  readonly stride: number;
  /** Recent mean time between the events of a stream; null while it is not known. */
  readonly meanGapMs: number | null;
}

/** Passes of a group vary; a stream of many events takes at most this much longer than the mean says. */
const gapMargin = 1.25;

/** Predicts how long a request takes: a stream by the most events that it may have, any other by its time limit. */
export function predictDuration({ route, caller, stride, meanGapMs }: DurationInput): RequestDuration {
  const latestMs = Math.min(route.timeoutMs, caller.leftMs ?? Infinity);
  const isKnown = route.gapObjectiveMs > 0 && caller.maxAnswerTokens > 0;
  const events = Math.ceil(caller.maxAnswerTokens / stride);
  const streamMs = route.objectiveMs + events * (meanGapMs ?? route.gapObjectiveMs) * gapMargin;
  return { expectedMs: isKnown ? Math.min(latestMs, streamMs) : latestMs, latestMs };
}
