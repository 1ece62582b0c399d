/** Response to `limitShares`. The lease counts from the sending of the request. */
export interface LimitSharesResponse {
  readonly relayStart: string;
  readonly sequence: number;
  readonly leaseMs: number;
  /** Shares in millionths of the limits, in the order of the requested teams. */
  readonly sharesPpm: readonly number[];
}
