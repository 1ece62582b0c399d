const targetCount = 12_000;
const entryCount = 350;
const relayCount = 30;
const subsetTargets = 7 * 3 * 32;
const pollsPerS = 2;

/** Sizes and limits from section 2 of the design, and values derived from them. */
export const designScale = {
  targetCount,
  entryCount,
  relayCount,
  teamCount: 4100,
  changesPerDay: 84_000,
  changesPerS: 84_000 / 86_400,
  requestsPerSAndEntry: 8600 / entryCount,
  tokensPerSAndEntry: 3_600_000 / entryCount,
  tokensPerSAndTarget: 3_600_000 / targetCount,
  /** Number of targets that an entry polls: 3 groups of 32 for each of 7 models. */
  subsetTargets,
  /** Number of candidate targets per request: all targets in the subset that serve its model. */
  candidateCount: 3 * 32,
  pollsPerSAndTarget: (entryCount * subsetTargets * pollsPerS) / targetCount,
  /** Every agent sends heartbeats to two relays and renews its lease at one. */
  heartbeatsPerSAndRelay: (2 * targetCount) / relayCount,
  renewalsPerSAndRelay: (targetCount + entryCount) / relayCount,
  layerCount: 58,
  nodeCores: 0.027,
  nodeBytes: 64e6,
  nodeBytesPerS: 11_000,
  maxConfigBytes: 900_000,
  /** A process whose event loop stalls for longer discards its own failure detection; see section 5. */
  stallMs: 200,
  planMs: 50,
  instances: 53,
} as const;
