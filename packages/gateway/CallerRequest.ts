/** A caller's request headers, independent of the platform's header names. */
export interface CallerRequest {
  /** Id of this attempt of the caller, echoed by targets. Null when the header is missing. */
  readonly requestId: string | null;
  /** Time until the caller's deadline, in ms; null when the caller states none. */
  readonly leftMs: number | null;
  readonly key: string | null;
  readonly promptTokens: number;
  readonly maxAnswerTokens: number;
  /** The caller's estimate of the number of answer tokens; 0 for none. */
  readonly hintTokens: number;
  /** Model that the caller names; null for none. */
  readonly model: string | null;
  /** Ids of the parts of the prompt, in order, without the last one, which other requests do not share. */
  readonly sharedParts: readonly string[];
  /** Id of the last event that the caller received of an earlier, broken stream. */
  readonly resumeAfter: string | null;
}
