/** Default settings of a plain service. */
export interface ServiceDefaults {
  /** Whether a call may run twice. Calls of a service that is not listed are not retried. */
  readonly repeatable: boolean;
  readonly timeoutMs: number;
  /** Whether a call that has a body and may not run twice needs an `Idempotency-Key`. */
  readonly keyRequired: boolean;
}
