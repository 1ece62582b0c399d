import type { LeadHolder } from "./LeadHolder";

/** Formats the name under which an agent requests the lease of its group. */
export function formatLeadHolder({ target, address }: LeadHolder): string {
  return `${target}@${address}`;
}
