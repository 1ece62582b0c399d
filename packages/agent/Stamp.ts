/** Proof of recent contact with an agent, echoed by entries with requests and by senders of orders. */
export interface Stamp {
  readonly incarnation: string;
  /** Time of issue, from the agent's monotonic clock. */
  readonly issuedAtMs: number;
}
