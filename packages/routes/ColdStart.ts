/** How a target that is cold may be used. */
export interface ColdStart {
  /** Requests per second that a cold target can take. */
  readonly requestsPerS: number;
  /** Time for which a target is cold after it starts, unless it states another one itself. */
  readonly durationMs: number;
}
