/** Preference for targets in the gateway's own failure domain among those with equal load. */
export const nearFactor = 1.3;
