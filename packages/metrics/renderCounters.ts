import type { Counters } from "./Counters";

/** Renders counters in Prometheus text format. */
export function renderCounters(counters: Counters<string>): string {
  const lines = [...counters.entries()].map(
    ([label, value]) => `${counters.name}{${counters.labelName}="${escapeLabel(label)}"} ${value}`,
  );
  return [`# TYPE ${counters.name} counter`, ...lines, ""].join("\n");
}

function escapeLabel(label: string): string {
  return label.replaceAll("\\", "\\\\").replaceAll('"', '\\"').replaceAll("\n", "\\n");
}
