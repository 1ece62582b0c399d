/** When the caller of a request that has not run may return. */
export interface FailureTimes {
  /** Null: estimated from when a slot is likely to be free. */
  readonly retryAfterMs?: number | null;
  /** Time until a slot is likely to be free, by the queue of the service; null without a queue. */
  readonly queueWaitMs?: number | null;
}
