/** Confirms that an exchange was taken over. */
export interface ExchangeResponse {
  readonly from: string;
  readonly incarnation: string;
  readonly replicaId: string;
  readonly failureDomain: string;
  readonly coordinators: readonly string[];
}
