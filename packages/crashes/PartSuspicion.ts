/** A prompt part that is suspected of crashing targets. */
export interface PartSuspicion {
  readonly part: string;
  /** Crashes that are attributed to the part. */
  readonly crashes: number;
  /** Time since the suspicion, in ms. */
  readonly ageMs: number;
  /** Time for which no gateway sends requests with the part, in ms; 0 once the suspicion is over. */
  readonly leftMs: number;
  /** Whether a target has answered a request with the part since, so that the suspicion was wrong. */
  readonly isLifted: boolean;
}
