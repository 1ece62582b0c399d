import type { EngineParameters } from "@clementinemux/routes/EngineParameters";

const engine: EngineParameters = {
  slots: 7,
  kvCapacityTokens: 24_000,
  stride: 4,
  stepMs: 4.55,
  perSequenceMs: 1.3575,
  perThousandContextMs: 0.02745,
  readPerSecond: 61_400,
  chunkTokens: 512,
  meanPromptTokens: 835,
  meanAnswerTokens: 97,
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
