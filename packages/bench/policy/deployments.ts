import type { Deployment } from "./Deployment";

/** Deployments A (few large teams) and B (teams of equal size, abrupt peaks). */
export const deployments: readonly Deployment[] = [
  {
    name: "A",
    engineCount: 16,
    entryCount: 16,
    failureDomainCount: 3,
    domainLatencyMs: 1,
    teamShares: [0.15, 0.05, 0.05, 0.3, 0.1, 0.05, 0.05, 0.05, 0.15, 0.05],
    peakFactor: 1,
  },
  {
    name: "B",
    engineCount: 16,
    entryCount: 16,
    failureDomainCount: 3,
    domainLatencyMs: 1.5,
    teamShares: [0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1],
    peakFactor: 1.2,
  },
];
