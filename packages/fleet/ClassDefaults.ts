/** Default settings of one request class. */
export interface ClassDefaults {
  /** Time until the complete response, counted from arrival at the entry. */
  readonly deadlineMs: number;
  /** Objective for the time to first token. */
  readonly firstTokenMs: number;
  /** Priority passed to the engine; higher runs first. */
  readonly enginePriority: number;
  /** Relative share of the capacity under overload. */
  readonly weight: number;
  readonly mayHedge: boolean;
  /** Whether a request of this class may be preempted by a higher class and resumed later. */
  readonly preemptible: boolean;
}
