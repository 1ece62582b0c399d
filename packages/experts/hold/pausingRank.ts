/** Rank that gets the order to pause its group for an activation. */
export const pausingRank = 0;
