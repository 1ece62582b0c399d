/** What the status and headers of a target's answer say, under our names. */
export interface TargetAnswer {
  readonly status: number;
  /** Id of the request that the answer belongs to; null when it is missing. */
  readonly requestId: string | null;
  /** Whether the target states that it has not run the request and never will. */
  readonly isNotRun: boolean;
  /** Whether the answer is signed by a target. */
  readonly isSigned: boolean;
  /** Whether another target has the address. */
  readonly isMisdirected: boolean;
  /** Whether the target says that it leaves. */
  readonly isLeaving: boolean;
  /** How long a target that has turned the request away wants nothing from this gateway, in ms; null for no word. */
  readonly pauseMs: number | null;
  /** Target that the answer blames for the failure; null for none. */
  readonly faultyTarget: string | null;
}
