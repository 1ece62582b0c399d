/** Weights of the objective function, set by the operator. */
export interface PlanWeights {
  /** Value of one millisecond of step time saved. */
  readonly skewWeight: number;
  /** Value of one millisecond of work delayed or lost by moves. */
  readonly costWeight: number;
  /** Time within which a plan must pay off. */
  readonly horizonMs: number;
}
