/** Path by which an order reaches a rank. */
export enum OrderPath {
  /** From the coordinator to the rank. */
  Direct = "direct",
  /** Through the ranker, the sidecar of the rank. */
  Ranker = "ranker",
}
