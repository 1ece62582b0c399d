/**
 * Part of each team limit that is never leased but divided by the number of live entries, so that an entry
 * without a share can serve a team's first requests. Leases hold the rest, so both together are the limit.
 */
export const unleasedPart = 0.1;
