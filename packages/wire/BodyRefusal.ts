/** Why the body of a request was not received as a whole. */
export enum BodyRefusal {
  TooLarge = "too_large",
  /** All unfinished uploads together held too much, or the connection has ended. */
  Dropped = "dropped",
}
