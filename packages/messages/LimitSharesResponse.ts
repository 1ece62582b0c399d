/**
 * Response to `limitShares`. Shares are in units of `shareParts`, in the order of the requested teams. The lease
 * counts from the sending of the request.
 */
export type LimitSharesResponse = readonly [
  relayStart: string,
  sequence: number,
  leaseMs: number,
  sharesParts: readonly number[],
];
