import { renderLabeledGauge } from "@clementinemux/metrics/renderLabeledGauge";

const msPerS = 1000;

/** Renders the remaining work of targets, in ms, in Prometheus text format. */
export function renderTargetWork(workMs: readonly (readonly [string, number])[]): string {
  const workS = workMs.map(([id, leftMs]) => [id, leftMs / msPerS] as const);
  return renderLabeledGauge("clementinemux_gateway_remaining_work_seconds", "target", workS);
}
