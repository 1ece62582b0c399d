import { RequestClass } from "@clementinemux/common/RequestClass";
import type { FleetConfig } from "./FleetConfig";

/** Creates the configuration of a new fleet, revision 0. */
export function createDefaultConfig(): FleetConfig {
  return {
    revision: 0,
    defaults: {
      classes: {
        [RequestClass.Important]: {
          deadlineMs: 30_000,
          firstTokenMs: 340,
          enginePriority: 100,
          weight: 16,
          mayHedge: true,
          preemptible: false,
        },
        [RequestClass.Standard]: {
          deadlineMs: 60_000,
          firstTokenMs: 1000,
          enginePriority: 50,
          weight: 4,
          mayHedge: false,
          preemptible: true,
        },
        [RequestClass.Bulk]: {
          deadlineMs: 300_000,
          firstTokenMs: 10_000,
          enginePriority: 0,
          weight: 1,
          mayHedge: false,
          preemptible: true,
        },
      },
      teamClass: RequestClass.Standard,
      teamRequestsPerS: 50,
      teamTokensPerS: 20_000,
      teamWeight: 1,
      servingLeaseMs: 4000,
      permitMaxAgeMs: 3000,
      orderMaxAgeMs: 2000,
      addressTtlMs: 30_000,
      subsetGroups: 3,
      retryBudgetShare: 0.1,
      maxAttempts: 3,
      maxEjectedShare: 0.2,
      connectTimeoutMs: 500,
      firstTokenTimeoutMs: 5000,
      tokenGapTimeoutMs: 2000,
      claimRetentionMs: 24 * 3_600_000,
      tombstoneRetentionMs: 30 * 24 * 3_600_000,
      services: {},
      groups: {
        skewWeight: 1,
        costWeight: 1,
        horizonMs: 600_000,
        weightStoreBytesPerS: 1_000_000_000,
        busyHours: [],
        busyTimeZone: "UTC",
      },
    },
    exceptions: [],
    drains: {},
  };
}
