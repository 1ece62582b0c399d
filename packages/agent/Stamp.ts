/**
 * Proof of recent contact with an agent. Entries and senders of orders echo it, so that delayed ones are
 * rejected.
 */
export interface Stamp {
  readonly incarnation: string;
  /** Time of issue, from the agent's monotonic clock. */
  readonly issuedAtMs: number;
}
