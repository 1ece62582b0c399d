/** Counts of how often the router has chosen each expert, as encoded in a response. */
export interface EncodedCounts {
  /** Identifies this response; unique within an incarnation of the ranker. */
  readonly id: number;
  /** `id` of the response that the differences are relative to; null when the numbers are complete counts. */
  readonly base: number | null;
  /** Varints in units of `choicesPerCountUnit`: seven bits a byte, least significant first. */
  readonly bytes: Uint8Array;
  /** Whether `bytes` are compressed (raw deflate). Missing in responses of earlier releases, which are not. */
  readonly isDeflated?: boolean;
}
