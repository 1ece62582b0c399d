/** What the number of requests that engines should run at once depends on. */
export interface CapInput {
  readonly slots: number;
  readonly stride: number;
  readonly stepMs: number;
  /** Longest pause between events for a stream on time; 0 without one. */
  readonly gapObjectiveMs: number;
  /** Recent mean time between events; null while it is not known. */
  readonly meanGapMs: number | null;
  /** Requests that each engine runs at present, on average. */
  readonly meanLoad: number;
}
