import type { Counters } from "./Counters";
import { escapeLabel } from "./escapeLabel";

/** Renders counters in Prometheus text format. */
export function renderCounters(counters: Counters<string>): string {
  const lines = [...counters.entries()].map(
    ([label, value]) => `${counters.name}{${counters.labelName}="${escapeLabel(label)}"} ${value}`,
  );
  return [`# TYPE ${counters.name} counter`, ...lines, ""].join("\n");
}
