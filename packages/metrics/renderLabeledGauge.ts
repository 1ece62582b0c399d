import { escapeLabel } from "./escapeLabel";

/** Renders one value for each label of a gauge, in Prometheus text format; nothing without values. */
export function renderLabeledGauge(
  name: string,
  labelName: string,
  values: readonly (readonly [label: string, value: number])[],
): string {
  const lines = values.map(([label, value]) => `${name}{${labelName}="${escapeLabel(label)}"} ${value}\n`);
  return lines.length === 0 ? "" : `# TYPE ${name} gauge\n${lines.join("")}`;
}
