/** Estimate of a token's length, as the entry has no tokenizer. */
export const charactersPerToken = 4;
