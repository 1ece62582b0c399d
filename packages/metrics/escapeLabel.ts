/** Escapes the value of a label for Prometheus text format. */
export function escapeLabel(label: string): string {
  return label.replaceAll("\\", "\\\\").replaceAll('"', '\\"').replaceAll("\n", "\\n");
}
