/** Cost model of a map change; see the design note for the reasoning. */
export const moveCosts = {
  /**
   * Share of the group's throughput that is lost while one rank loads weights, since all others wait for it.
   */
  interferenceShare: 0.05,
  /** Pause of the group while a map is activated. */
  activationPauseMs: 50,
} as const;
