import type { GroupLeaseHolder } from "./GroupLeaseHolder";

/** Formats the name under which an agent requests the lease of its group. */
export function formatGroupLeaseHolder({ target, address }: GroupLeaseHolder): string {
  return `${target}@${address}`;
}
