/** Cost model of a change of map; the design note gives the reasoning. */
export const moveCosts = {
  /** Share of the group's throughput lost while one rank loads weights: the whole group waits for that rank. */
  interferenceShare: 0.05,
  /** Pause of the group at the activation of a map. */
  activationPauseMs: 50,
} as const;
