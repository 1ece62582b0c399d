/** Proof of recent contact with an agent; echoed by entries and by senders of orders. */
export interface Stamp {
  readonly incarnation: string;
  /** The agent's monotonic clock when it issued the stamp. */
  readonly issuedAtMs: number;
}
