import type { Route } from "@clementinemux/routes/Route";
import { RouteKind } from "@clementinemux/routes/RouteKind";

/** Whether a request of the route may run more than once, as a whole or from the event after the last one. */
export function isRetryable({ kind, canResume }: Route): boolean {
  return kind === RouteKind.Idempotent || (kind === RouteKind.Streaming && canResume);
}
