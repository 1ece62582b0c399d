/**
 * Response to `limitShares`. Shares are in parts of the limit (`partsPerLimit`), in the order of the
 * requested teams. For the holder, the lease starts when it sent the request.
 */
export type LimitSharesResponse = readonly [
  relayStart: string,
  sequence: number,
  leaseMs: number,
  sharesParts: readonly number[],
];
