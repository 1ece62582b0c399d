/** Experts by layer set and rank: `hosting[set][rank]` lists the experts that the rank holds. */
export type RankHosting = readonly (readonly (readonly number[])[])[];
