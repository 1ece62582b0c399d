import { hashString } from "@clementinemux/common/hashString";

/** Log group that holds the claims of a team's key. */
export function getClaimGroup(team: string, key: string, claimGroups: number): string {
  return `claims-${hashString(`${team.length}:${team}${key}`) % claimGroups}`;
}
