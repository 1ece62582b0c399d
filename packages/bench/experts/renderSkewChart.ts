import { renderLineChart } from "../renderLineChart";
import type { PolicyResult } from "./PolicyResult";

/**
 * Renders the skew of each policy over the day as SVG, on a scale that shows differences near the lower
 * bound.
 */
export function renderSkewChart(title: string, policies: readonly PolicyResult[]): string {
  return renderLineChart({
    title: `${title}: skew over 24 hours`,
    series: policies.map(({ policy, skewSeries }) => ({ name: policy, values: skewSeries })),
    range: [1, 2],
    ticks: [1, 1.25, 1.5, 1.75, 2],
  });
}
