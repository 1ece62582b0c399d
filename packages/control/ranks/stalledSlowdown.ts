/**
 * Slowdown of ranks that are stalled or unreachable. They are chosen last, since requests sent to them do not
 * progress.
 */
export const stalledSlowdown = 8;
