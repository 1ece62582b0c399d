/** Answer to `groupLease`. The lease is counted by the holder from the moment of sending. */
export interface GroupLeaseResponse {
  readonly granted: boolean;
  /** Present holder. */
  readonly holder: string;
  /** Fencing number of the lead's orders; rises with each new holder. */
  readonly epoch: number;
  readonly leaseMs: number;
  /** Last decided map version of the group, 0 when none. */
  readonly mapVersion: number;
}
