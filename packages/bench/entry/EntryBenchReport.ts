/** Results of one run of the entry bench. */
export interface EntryBenchReport {
  /** Latency of the first token through the entry minus that of a direct connection, at the same load. */
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  /** Completed short requests divided by the processor time of the entry's process. */
  readonly requestsPerSPerCore: number;
  /** Streamed tokens divided by the processor time of the entry's process. */
  readonly tokensPerSPerCore: number;
  /** Throughput of the single entry process in the token run. */
  readonly tokensPerS: number;
  /** Gap between tokens in the token run, the engines' own token interval included. */
  readonly tokenGapP95Ms: number;
  /** Growth of heap and buffers per open stream, after garbage collection. */
  readonly bytesPerOpenStream: number;
  readonly wrongCount: number;
  readonly failures: Readonly<Record<string, number>>;
}
