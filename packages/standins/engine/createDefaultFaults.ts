import type { EngineFaults } from "./EngineFaults";

/** Creates settings in which no fault is injected. */
export function createDefaultFaults(): EngineFaults {
  return {
    frozen: false,
    killAtToken: null,
    duplicateTokens: false,
    foreignAtToken: null,
    swapAtToken: null,
    omitFinal: false,
    endAtToken: null,
    foreignAnswer: false,
    foreignHeader: false,
    pieceBytes: 0,
    refuseResume: false,
    silentConnections: false,
    remainingCount: Number.MAX_SAFE_INTEGER,
  };
}
