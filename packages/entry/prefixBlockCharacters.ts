/** Length of the prompt blocks by which prefixes are known. */
export const prefixBlockCharacters = 256;
