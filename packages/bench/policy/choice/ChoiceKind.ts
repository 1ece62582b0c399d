/** Rules for the choice of a target that are compared. */
export enum ChoiceKind {
  /** Random, weighted by free slots. */
  FreeSlots = "freeSlots",
  /** Fewest requests in flight. */
  Requests = "requests",
  /** Least remaining work. */
  LeastWork = "leastWork",
  /** Earliest expected end. */
  Earliest = "earliest",
  /** The earlier expected end of two random targets. */
  TwoChoices = "twoChoices",
  /** Random, weighted by the expected end and by free slots. */
  ExpectedWork = "expectedWork",
  /** Earliest end by the present work of all gateways and the true lengths. */
  Perfect = "perfect",
}
