/** Treatment of a plain service. */
export interface ServiceDefaults {
  /** Whether a call may run twice. Calls of a service that is not listed are not repeated. */
  readonly repeatable: boolean;
  readonly timeoutMs: number;
}
