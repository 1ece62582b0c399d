/**
 * Share of each team limit that is never leased but divided among the live entries, so that an entry without
 * a lease can serve a team's first requests. Only the rest is leased, so both together never exceed the
 * limit.
 */
export const unleasedShare = 0.1;
