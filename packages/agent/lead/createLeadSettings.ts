import type * as z from "zod";
import type { RankGroupLeaderSettings } from "@clementinemux/experts/RankGroupLeaderSettings";
import type { GroupDefaults } from "@clementinemux/fleet/GroupDefaults";
import type { RankGroupSettings } from "../RankGroupSettings";

interface LeadTerms {
  readonly settings: z.output<typeof RankGroupSettings>;
  readonly epoch: number;
  readonly decidedVersion: number;
  readonly startAtMs: number;
  readonly failureDomains: readonly string[];
  readonly getGroups: () => GroupDefaults;
  /** Groups that share the weight store. */
  readonly getGroupCount: () => number;
}

// A rank whose last windows were all lost counts as missing.
const maxMissedReports = 3;

/** Creates the settings of a lead. Those that operators configure are read anew on each use. */
export function createLeadSettings(terms: LeadTerms): RankGroupLeaderSettings {
  const { settings, epoch, decidedVersion, startAtMs, failureDomains, getGroups, getGroupCount } = terms;
  const { rankCount, layerCount, expertCount, slotsPerRank, expertBytes } = settings;
  const { activationTimeoutMs, armMarginSteps, smoothingMs, trendMs, planIntervalMs } = settings;
  const shape = { rankCount, layerCount, expertCount, slotsPerRank, expertBytes, failureDomains };
  return {
    shape,
    lead: { shape, epoch, decidedVersion, startAtMs, activationTimeoutMs, armMarginSteps },
    load: { smoothingMs, trendMs, maxAgeMs: settings.reportIntervalMs * maxMissedReports },
    planIntervalMs,
    get weights() {
      const { skewWeight, costWeight, horizonMs } = getGroups();
      return { skewWeight, costWeight, horizonMs };
    },
    get busyHours() {
      return getGroups().busyHours;
    },
    get storeBytesPerS() {
      return getGroups().weightStoreBytesPerS / getGroupCount();
    },
  };
}
