/** Bounds of the failure domains that are remembered, evacuated and sent between coordinators. */
export const failureDomainLimits = {
  maxNames: 1000,
  /** Longest name, as in heartbeats. */
  maxNameLength: 256,
} as const;
