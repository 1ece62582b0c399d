import { logLosses } from "@clementinemux/logging/logLosses";
import { renderBuildInfo } from "./renderBuildInfo";
import { renderCounters } from "./renderCounters";

/** Renders the metrics that every process has, in Prometheus text format. */
export function renderProcess(): string {
  return renderBuildInfo() + renderCounters(logLosses);
}
