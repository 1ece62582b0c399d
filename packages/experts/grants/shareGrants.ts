import type { GrantRequest } from "./GrantRequest";

/** Divides bytes by max-min fairness: no group gets more than it needs. Returns the remaining bytes. */
function divide(requests: readonly GrantRequest[], totalBytes: number, grants: Map<string, number>): number {
  const ordered = [...requests].sort(
    (left, right) => left.remainingBytes - right.remainingBytes || (left.group < right.group ? -1 : 1),
  );
  let leftBytes = totalBytes;
  for (const [index, { group, remainingBytes }] of ordered.entries()) {
    const bytes = Math.min(remainingBytes, leftBytes / (ordered.length - index));
    grants.set(group, bytes);
    leftBytes -= bytes;
  }
  return leftBytes;
}

/**
 * Divides the bytes that the weight store can send in a period among groups. Half-prepared maps come first:
 * weights that are loaded but not yet used have delayed work without saving any.
 */
export function shareGrants(
  requests: readonly GrantRequest[],
  periodBytes: number,
): ReadonlyMap<string, number> {
  const grants = new Map<string, number>();
  const leftBytes = divide(
    requests.filter(({ isHalfPrepared }) => isHalfPrepared),
    periodBytes,
    grants,
  );
  divide(
    requests.filter(({ isHalfPrepared }) => !isHalfPrepared),
    leftBytes,
    grants,
  );
  return grants;
}
