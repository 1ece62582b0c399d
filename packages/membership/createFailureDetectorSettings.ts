import type { FailureDetectorSettings } from "./FailureDetectorSettings";

/** Creates the default settings of an observer. */
export function createFailureDetectorSettings(failureDomain: string): FailureDetectorSettings {
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
