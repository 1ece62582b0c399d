import type { LeadHolder } from "./LeadHolder";

/** Parses the holder of a group lease; the address is empty when the name has none. */
export function parseLeadHolder(holder: string): LeadHolder {
  const at = holder.lastIndexOf("@");
  return at < 0
    ? { target: holder, address: "" }
    : { target: holder.slice(0, at), address: holder.slice(at + 1) };
}
