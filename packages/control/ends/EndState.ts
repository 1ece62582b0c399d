/** What the recorded ends say about a target. */
export enum EndState {
  /** No recorded end affects the target. */
  Open = "open",
  Draining = "draining",
  /** Its incarnation, or a later one of its id, has ended. */
  Ended = "ended",
}
