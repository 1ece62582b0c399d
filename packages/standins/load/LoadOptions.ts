/** A run of the load generator. */
export interface LoadOptions {
  readonly url: string;
  readonly model: string;
  /** Bearer token; empty for none. */
  readonly token: string;
  /** Arrivals are open-loop: they do not wait for answers. */
  readonly requestsPerS: number;
  readonly durationMs: number;
  readonly promptCharacters: number;
  readonly maxTokenCount: number;
  /** Seed of arrivals and prompts. */
  readonly seed: number;
  /** Headers of an agent that is called directly. */
  readonly direct: boolean;
}
