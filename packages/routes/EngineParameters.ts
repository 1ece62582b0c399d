import type { ExpertParameters } from "./ExpertParameters";

/** Published performance parameters of a model service, from which step times are predicted. */
export interface EngineParameters {
  /** Requests that one engine runs concurrently. */
  readonly slots: number;
  readonly kvCapacityTokens: number;
  /** Token steps in one forward pass, and tokens in one event of a stream. */
  readonly stride: number;
  readonly stepMs: number;
  /** Time added to a step by each running request. */
  readonly perSequenceMs: number;
  /** Time added to a step by each running request per 1,000 tokens of its context. */
  readonly perThousandContextMs: number;
  /** Prompt tokens processed per second. */
  readonly readPerSecond: number;
  /** Most prompt tokens processed in one step. */
  readonly chunkTokens: number;
  readonly meanPromptTokens: number;
  readonly meanAnswerTokens: number;
  readonly experts: ExpertParameters | null;
}
