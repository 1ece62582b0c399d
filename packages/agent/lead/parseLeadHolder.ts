import type { LeadHolder } from "./LeadHolder";

/** Parses the holder of a group lease; the address is empty when the name has none. */
export function parseLeadHolder(holder: string): LeadHolder {
  const separatorIndex = holder.lastIndexOf("@");
  return separatorIndex < 0
    ? { target: holder, address: "" }
    : { target: holder.slice(0, separatorIndex), address: holder.slice(separatorIndex + 1) };
}
