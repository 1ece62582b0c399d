/** A target's complete response that is not a stream. */
export interface FullResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}
