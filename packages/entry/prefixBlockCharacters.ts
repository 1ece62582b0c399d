/** Length of the prompt blocks that are hashed to match prefixes. */
export const prefixBlockCharacters = 256;
