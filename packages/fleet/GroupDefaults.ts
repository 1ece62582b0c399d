/** Default weights and limits for moving experts between ranks. */
export interface GroupDefaults {
  readonly skewWeight: number;
  readonly costWeight: number;
  /** Time within which the gain of a move must exceed its cost. */
  readonly horizonMs: number;
  /** Throughput of the weight store, shared by all transfers. */
  readonly weightStoreBytesPerS: number;
  /** Local hours in which no weights are moved, each as [first, end). */
  readonly busyHours: readonly (readonly [number, number])[];
  readonly busyTimeZone: string;
}
