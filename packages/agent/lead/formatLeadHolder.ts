import type { LeadHolder } from "./LeadHolder";

/** Writes the name under which an agent asks for the lease of its group. */
export function formatLeadHolder({ target, address }: LeadHolder): string {
  return `${target}@${address}`;
}
