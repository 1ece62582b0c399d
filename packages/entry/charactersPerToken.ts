/** Estimated mean length of a token. The entry has no tokenizer. */
export const charactersPerToken = 4;
