/** Share of the slots that requests keep while more urgent ones want all of them, so that they are never starved. */
export const lowerShare = 1 / 20;
