/** Response to `groupLease`. For the holder, the lease starts when it sent the request. */
export interface GroupLeaseResponse {
  readonly granted: boolean;
  /** Current holder. */
  readonly holder: string;
  /** Fencing token of the leader's orders; increases with each new holder. */
  readonly epoch: number;
  readonly leaseMs: number;
  /** Latest decided map version of the group; 0 when there is none. */
  readonly mapVersion: number;
}
