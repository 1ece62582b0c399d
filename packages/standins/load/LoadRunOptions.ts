/** Options of a run of the load generator. */
export interface LoadRunOptions {
  readonly url: string;
  readonly model: string;
  /** Bearer token; empty for none. */
  readonly token: string;
  /** Open-loop arrival rate: requests are sent on schedule without waiting for responses. */
  readonly requestsPerS: number;
  readonly durationMs: number;
  readonly promptCharacters: number;
  readonly maxTokenCount: number;
  /** Seed of arrival times and prompts. */
  readonly seed: number;
  /** Whether the URL is that of an agent: requests then carry the attempt id that an entry would set. */
  readonly direct: boolean;
}
