/** A group whose passes take this much longer than another's is used only when the others are full. */
export const slowPace = 1.5;
