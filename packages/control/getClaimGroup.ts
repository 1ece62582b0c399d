import { hashString } from "@clementinemux/common/hashString";

/** Returns the log group that stores the claims of a team's key. */
export function getClaimGroup(team: string, key: string, claimGroups: number): string {
  return `claims-${hashString(`${team.length}:${team}${key}`) % claimGroups}`;
}
