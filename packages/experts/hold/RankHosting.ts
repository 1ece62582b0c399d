/** Expert placement: `hosting[set][rank]` lists the experts of a layer set that the rank holds. */
export type RankHosting = readonly (readonly (readonly number[])[])[];
