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

/** Figures of services whose engines form rank groups. */
interface ExpertFigures {
  readonly layerSets: number;
  readonly expertsPerSet: number;
  /** Experts that a rank can hold in one layer set. */
  readonly placements: number;
  /** New experts that one order may bring to a rank in one layer set. */
  readonly spare: number;
  readonly expertMb: number;
  /** Share of the work for tokens that is spent in experts. */
  readonly expertShare: number;
  readonly linkMbps: number;
  /** Time in which a broken group forms again. */
  readonly formMs: number;
}
