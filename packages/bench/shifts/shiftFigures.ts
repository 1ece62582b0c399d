/** Figures of a model group, in the units of its engine's description. */
export const shiftFigures = {
  ranks: 16,
  slots: 8,
  stride: 4,
  stepMs: 4.55,
  /** Added to a step by each request that a rank runs, its context included. */
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
  /** Passes of a group that copies experts take longer by this factor. */
  copyFactor: 1.15,
  /** Choices that a request makes in one pass. */
  choicesPerPass: 10_000,
} as const;
