/** Source of time. Core code receives times as arguments; only the code around it reads a clock. */
export interface Clock {
  /** Milliseconds since an arbitrary point; never decreases. */
  monotonicMs(): number;
  /** Milliseconds since the Unix epoch; may jump in either direction. */
  wallMs(): number;
}
