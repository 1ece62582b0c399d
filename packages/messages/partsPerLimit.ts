/** Number of parts of a whole limit; shares in messages are counted in parts, and take 3 bytes each. */
export const partsPerLimit = 50_000;
