import type { SuspicionSettings } from "./SuspicionSettings";

/** Creates the default settings of an observer. */
export function createSuspicionSettings(failureDomain: string): SuspicionSettings {
  return {
    failureDomain,
    suspectAfterMs: 1500,
    confirmAfterMs: 1200,
    probeIntervalMs: 1000,
    maxProbeIntervalMs: 30_000,
    stallToleranceMs: 200,
    stallGraceMs: 2000,
    maxEjectedShare: 0.2,
    minMassCount: 2,
    massWindowMs: 10_000,
    massHoldMs: 30_000,
    flapCount: 3,
    flapWindowMs: 300_000,
    stableAfterMs: 60_000,
  };
}
