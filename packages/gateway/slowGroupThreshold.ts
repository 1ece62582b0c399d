/** A group with at least this slowdown compared with another group is used only when the others are full. */
export const slowGroupThreshold = 1.5;
