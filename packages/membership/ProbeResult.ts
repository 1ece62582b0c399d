/** Result of an attempt to reach a target on a new connection. */
export interface ProbeResult {
  readonly target: string;
  readonly incarnation: string;
  /** Failure domain of the observer that made the attempt. */
  readonly observerDomain: string;
  readonly reached: boolean;
  /** Start of the attempt, in monotonic time of this process. */
  readonly startedAtMs: number;
}
