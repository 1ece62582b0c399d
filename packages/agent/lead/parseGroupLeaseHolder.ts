import type { GroupLeaseHolder } from "./GroupLeaseHolder";

/** Parses the holder of a group lease; the address is empty when the name has none. */
export function parseGroupLeaseHolder(holder: string): GroupLeaseHolder {
  const separatorIndex = holder.lastIndexOf("@");
  return separatorIndex < 0
    ? { target: holder, address: "" }
    : { target: holder.slice(0, separatorIndex), address: holder.slice(separatorIndex + 1) };
}
