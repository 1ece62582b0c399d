/** Weights and limits for moving experts in rank groups. */
export interface GroupDefaults {
  readonly skewWeight: number;
  readonly costWeight: number;
  /** Time over which a move must pay off. */
  readonly horizonMs: number;
  /** Shared rate of the weight store. */
  readonly weightStoreBytesPerS: number;
  /** Local hours in which no weights are moved, each as [first, end). */
  readonly busyHours: readonly (readonly [number, number])[];
  readonly busyTimeZone: string;
}
