/** A prompt part or a request that is suspected of crashing targets. */
export interface Suspicion {
  /** Key of the prompt part or the request; named after the first kind that earlier releases know. */
  readonly part: string;
  /** Crashes that are attributed to it. */
  readonly crashes: number;
  /** Time since the suspicion, in ms. */
  readonly ageMs: number;
  /** Time for which no gateway sends requests with it, in ms; 0 once the suspicion is over. */
  readonly leftMs: number;
  /** Whether a target has answered it since, so that the suspicion was wrong. */
  readonly isLifted: boolean;
}
