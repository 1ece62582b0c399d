/** Parameters of the simulated group, in the units of an engine's parameters. */
export const shiftParameters = {
  ranks: 16,
  slots: 8,
  stride: 4,
  stepMs: 4.55,
  /** Time that each running request of a rank adds to a step, attention to its context included. */
  perSequenceMs: 1.36,
  promptTokensPerMs: 61.4,
  experts: {
    layerSets: 4,
    expertsPerSet: 64,
    placements: 5,
    spare: 2,
    expertMb: 2500,
    expertShare: 0.85,
    linkMbps: 180_000,
    formMs: 600,
  },
  /** Factor on the pass time while the group copies experts. */
  copyFactor: 1.15,
  /** Expert choices per request and forward pass. */
  choicesPerPass: 10_000,
} as const;
