/** Source of time. Core code receives times as arguments; shells read them here. */
export interface Clock {
  /** Milliseconds since an arbitrary point; never goes back. */
  monotonicMs(): number;
  /** Milliseconds since the Unix epoch; may jump. */
  wallMs(): number;
}
