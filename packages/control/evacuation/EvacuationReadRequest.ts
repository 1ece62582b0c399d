/** Asks for the evacuation state of the leader. */
export interface EvacuationReadRequest {
  /** Failure domain that the caller wants to change; null if none. */
  readonly failureDomain: string | null;
  /** Whether a coordinator sends this to the leader on behalf of another process. */
  readonly isForwarded: boolean;
}
