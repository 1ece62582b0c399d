/** Process that gives an order to a rank. */
export enum OrderWay {
  /** The coordinator itself. */
  Direct = "direct",
  /** The process beside the rank. */
  Ranker = "ranker",
}
