import type { RoutedService } from "@clementinemux/routes/RoutedService";

const experts = {
  ...{ layerSets: 4, expertsPerSet: 64, placements: 11, spare: 2, expertMb: 2500, expertShare: 0.8 },
  ...{ linkMbps: 180_000, formMs: 600 },
};
const engine = {
  ...{ slots: 8, kvCapacityTokens: 100_000, stride: 4, stepMs: 4.5, perSequenceMs: 1 },
  ...{ perThousandContextMs: 0, readPerSecond: 60_000, chunkTokens: 512 },
  ...{ meanPromptTokens: 800, meanAnswerTokens: 100, experts },
};

/** The service of `createDocument`, with targets that are the ranks of a group. */
export const rankService: RoutedService = {
  name: "app",
  healthPath: "/health",
  maxConnections: 100,
  engine,
};
