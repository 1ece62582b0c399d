/** Result of a simulated day. */
export interface ShiftResult {
  /** Number of requests. */
  readonly asked: number;
  /** Shares of the requests. The rest was in flight at the end of the day. */
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  readonly meanPassMs: number;
  /** Number of copies of an expert to a rank. */
  readonly copies: number;
  /** Attempts to begin a forward pass that failed because the group was paused at a step barrier. */
  readonly heldPasses: number;
}
