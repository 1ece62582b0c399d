/** Result of an attempt to reach a target on a new connection. */
export interface ProbeResult {
  readonly target: string;
  readonly incarnation: string;
  /** Failure domain of the observer that made the attempt. */
  readonly observerDomain: string;
  readonly reached: boolean;
  /** Monotonic time of this process when the attempt was started. */
  readonly startedAtMs: number;
}
