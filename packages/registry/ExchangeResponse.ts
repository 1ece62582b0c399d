/** Confirms that an exchange was taken over. */
export interface ExchangeResponse {
  readonly from: string;
  readonly incarnation: string;
  readonly replicaId: string;
  readonly failureDomain: string;
  /** Whether the sender's replica has a disk. */
  readonly isDurable: boolean;
  readonly coordinators: readonly string[];
}
