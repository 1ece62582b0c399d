/** What callers of a model day got. */
export interface ShiftResult {
  readonly asked: number;
  /** Shares of what was asked; the rest was open at the end of the day. */
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  readonly meanPassMs: number;
  /** Experts that were copied to a rank. */
  readonly copies: number;
  /** Looks at which a pass could not begin because the group was held. */
  readonly heldPasses: number;
}
