import type { ExpertFigures } from "./ExpertFigures";

/** Published performance figures of a model service, from which step times are predicted. */
export interface EngineFigures {
  /** Requests that one engine runs at once. */
  readonly slots: number;
  readonly kvCapacityTokens: number;
  /** Token steps in one pass, and tokens in one event of a stream. */
  readonly stride: number;
  readonly stepMs: number;
  /** Added to a step by each running request. */
  readonly perSequenceMs: number;
  /** Added to a step by each running request for every 1,000 tokens of its context. */
  readonly perThousandContextMs: number;
  /** Prompt tokens read in a second. */
  readonly readPerSecond: number;
  /** Prompt tokens read in one step at most. */
  readonly chunkTokens: number;
  readonly meanPromptTokens: number;
  readonly meanAnswerTokens: number;
  readonly experts: ExpertFigures | null;
}
