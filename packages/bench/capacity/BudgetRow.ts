/** One value at design scale, compared with its limit. */
export interface BudgetRow {
  readonly role: string;
  readonly figure: string;
  readonly value: number;
  /** Null when the design sets no limit. */
  readonly limit: number | null;
  /** Whether the value is within the limit; null without a limit. */
  readonly within: boolean | null;
  readonly basis: "measured" | "derived" | "not built";
}
