import { escapeLabel } from "./escapeLabel";

/** Renders the members of a set as a gauge with the value 1 each, in Prometheus text format; nothing for an empty set. */
export function renderMembers(name: string, labelName: string, members: readonly string[]): string {
  const lines = members.map((member) => `${name}{${labelName}="${escapeLabel(member)}"} 1\n`);
  return lines.length === 0 ? "" : `# TYPE ${name} gauge\n${lines.join("")}`;
}
