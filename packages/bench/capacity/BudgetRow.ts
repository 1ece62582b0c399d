/** A figure at design scale against its limit. */
export interface BudgetRow {
  readonly role: string;
  readonly figure: string;
  readonly value: number;
  /** Null where the design states none. */
  readonly limit: number | null;
  /** Null without a limit. */
  readonly within: boolean | null;
  readonly basis: "measured" | "derived" | "not built";
}
