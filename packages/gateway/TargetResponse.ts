/** The status and headers of a target's response, independent of the platform's header names. */
export interface TargetResponse {
  readonly status: number;
  /** Id of the request that the response belongs to; null when the header is missing. */
  readonly requestId: string | null;
  /** Whether the target states that it has not run the request and never will. */
  readonly isNotRun: boolean;
  /** Whether the response is signed by a target. */
  readonly isSigned: boolean;
  /** Whether the address now belongs to another target. */
  readonly isMisdirected: boolean;
  /** Whether the target states that it is leaving. */
  readonly isLeaving: boolean;
  /**
   * How long a target that has rejected the request wants no requests from this gateway, in ms; null when it
   * states none.
   */
  readonly pauseMs: number | null;
  /**
   * Requests per second that the target states it takes from all gateways together; null when it names no limit, undefined
   * when what it names cannot be read.
   */
  readonly limitPerS: number | null | undefined;
  /** Target that the response names as the cause of the failure; null for none. */
  readonly faultyTarget: string | null;
}
