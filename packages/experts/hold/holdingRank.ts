/** Rank that holds its group for an activation. */
export const holdingRank = 0;
