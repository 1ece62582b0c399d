/** Acknowledges that an exchange was applied. */
export interface ExchangeResponse {
  readonly from: string;
  readonly incarnation: string;
  readonly replicaId: string;
  readonly failureDomain: string;
  /** Whether the sender's replica stores its state on disk. */
  readonly isDurable: boolean;
  readonly coordinators: readonly string[];
}
