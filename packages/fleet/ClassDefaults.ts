/** Treatment of one request class. */
export interface ClassDefaults {
  /** Time for the whole answer, counted from arrival at the entry. */
  readonly deadlineMs: number;
  /** Target for the first token. */
  readonly firstTokenMs: number;
  /** Priority handed to the engine; higher runs first. */
  readonly enginePriority: number;
  /** Share of capacity against the other classes under overload. */
  readonly weight: number;
  readonly mayHedge: boolean;
  /** Whether work of this class may be preempted and resumed for a higher class. */
  readonly preemptible: boolean;
}
