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
  /** The one of two random targets with fewer requests in flight. */
  TwoByRequests = "twoByRequests",
  /** The one of two random targets with less remaining work. */
  TwoByWork = "twoByWork",
  /** The gateway's own rule: the earlier expected end of two random targets. */
  ExpectedWork = "expectedWork",
  /** Earliest end by the present work of all gateways and the true lengths. */
  Perfect = "perfect",
}
