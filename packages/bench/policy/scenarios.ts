import type { Scenario } from "./Scenario";

const durationMs = 40_000;
const faultFromMs = 10_000;

const base: Scenario = {
  name: "base",
  durationMs,
  getLoadShare: () => 0.7,
  getFloodShare: () => 0,
  driftIntervalMs: 0,
  applyFaults: () => undefined,
  callerRetryCount: 0,
};

/** Scenarios in which the routing policies are compared. */
export const scenarios: readonly Scenario[] = [
  { ...base, name: "hotSpotDrift", getLoadShare: () => 0.8, driftIntervalMs: 5000 },
  {
    ...base,
    name: "slowTarget",
    applyFaults: ([first], atMs) => {
      if (first !== undefined) {
        first.slowdown = atMs >= faultFromMs ? 3 : 1;
      }
    },
  },
  { ...base, name: "overload", getLoadShare: (atMs) => (atMs >= 5000 ? 1.5 : 0.7) },
  {
    ...base,
    name: "floodingTeam",
    getLoadShare: () => 0.6,
    getFloodShare: (atMs) => (atMs >= faultFromMs ? 1 : 0),
  },
  {
    ...base,
    name: "fastFailing",
    applyFaults: ([first], atMs) => {
      if (first !== undefined) {
        first.errorShare = atMs >= faultFromMs ? 1 : 0;
      }
    },
  },
];
