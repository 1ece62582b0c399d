import type { Logger } from "roarr";
import { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import { CoordinatorHandler } from "./CoordinatorHandler";

/** Counts and logs the exceptions in handlers of a coordinator. */
export function createCoordinatorErrors(logger: Logger): ErrorBoundary<CoordinatorHandler> {
  const handlers = Object.values(CoordinatorHandler);
  return new ErrorBoundary({ name: "clementinemux_coordinator_handler_errors", handlers, logger });
}
