/** A request that was at a target when the target crashed. */
export interface CandidateRequest {
  /** Equal for all attempts and repeats of the request, at any gateway. */
  readonly key: string;
  /** Keys of the shared parts of its prompt. */
  readonly parts: readonly string[];
  /** Whether the target had begun to answer it. */
  readonly hasBegun: boolean;
  /** Time from its sending to the crash, in ms. Missing if the sender does not know it. */
  readonly sentMs?: number;
  /** Time since the reporting process last saw the same request answered, in ms. Missing if it has not, or not lately. */
  readonly answeredMs?: number;
}
