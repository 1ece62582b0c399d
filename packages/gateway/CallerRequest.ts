/** What the headers of a caller's request say, under our names. */
export interface CallerRequest {
  /** Id of this attempt of the caller; echoed by targets. Null when it is missing. */
  readonly requestId: string | null;
  /** How long the caller will wait from now; null when it does not say. */
  readonly leftMs: number | null;
  readonly key: string | null;
  readonly promptTokens: number;
  readonly maxAnswerTokens: number;
  /** Last event that the caller holds of an earlier, broken stream. */
  readonly resumeAfter: string | null;
}
