/** Figures of one run of the entry bench. */
export interface EntryBenchReport {
  /** First token through the entry minus first token on a direct connection, same load and run. */
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  /** Short requests in a closed loop, divided by the processor time that the entry's process used. */
  readonly requestsPerSPerCore: number;
  /** Tokens of open streams, divided by the processor time that the entry's process used. */
  readonly tokensPerSPerCore: number;
  /** Tokens a second that passed through the one process in that run. */
  readonly tokensPerS: number;
  /** In the token run; the engines' own interval is part of it. */
  readonly tokenGapP95Ms: number;
  /** Growth of the heap and of buffers, after a collection, for each stream. */
  readonly bytesPerOpenStream: number;
  readonly wrongCount: number;
  readonly failures: Readonly<Record<string, number>>;
}
