/** Input of the concurrency limit of a service's engines. */
export interface ConcurrencyLimitInput {
  readonly slots: number;
  readonly stride: number;
  readonly stepMs: number;
  /** Longest pause between events for a stream to be on time, in ms; 0 when the route sets none. */
  readonly gapObjectiveMs: number;
  /** Recent mean time between events, in ms; null while it is not known. */
  readonly meanGapMs: number | null;
  /** Requests in flight at each engine, on average. */
  readonly meanLoad: number;
}
