import type { EngineParameters } from "@clementinemux/routes/EngineParameters";

const engine: EngineParameters = {
  slots: 7,
  kvCapacityTokens: 16_000,
  stride: 4,
  stepMs: 4.5,
  perSequenceMs: 1,
  perThousandContextMs: 0.4,
  readPerSecond: 40_000,
  chunkTokens: 128,
  meanPromptTokens: 900,
  meanAnswerTokens: 100,
  experts: null,
};

/** The modelled fleet: ranks in groups whose forward passes wait for their slowest rank. */
export const choiceParameters = {
  engine,
  ranks: 72,
  ranksPerGroup: 24,
  failureDomains: 3,
  /** Share of the arrivals in each failure domain. */
  arrivalShares: [0.39, 0.29, 0.32],
  /** Amplitude and period of the waves of arrivals, which are out of phase between failure domains. */
  waveShare: 0.55,
  waveMs: 12_000,
  objectiveMs: 500,
  gapObjectiveMs: 120,
  /** Time for which a request waits for a free slot before it is rejected, and how often it looks. */
  slotWaitMs: 200,
  slotPollMs: 20,
  reportMs: 200,
  /** Time until a gateway's report is part of what the coordinators tell others. */
  exchangeMs: 100,
} as const;
