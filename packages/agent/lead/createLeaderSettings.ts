import type * as z from "zod";
import type { RankGroupLeaderSettings } from "@clementinemux/experts/RankGroupLeaderSettings";
import type { GroupDefaults } from "@clementinemux/fleet/GroupDefaults";
import type { RankGroupSettings } from "../RankGroupSettings";

interface LeaderTerms {
  readonly settings: z.output<typeof RankGroupSettings>;
  readonly epoch: number;
  readonly decidedVersion: number;
  readonly startAtMs: number;
  readonly failureDomains: readonly string[];
  readonly getGroups: () => GroupDefaults;
  /** Groups that share the weight store. */
  readonly getGroupCount: () => number;
}

// A rank without a load window for this many report intervals counts as missing.
const maxMissedWindows = 3;

/** Creates the settings of a group leader. Settings that operators can change are read on each use. */
export function createLeaderSettings(terms: LeaderTerms): RankGroupLeaderSettings {
  const { settings, epoch, decidedVersion, startAtMs, failureDomains, getGroups, getGroupCount } = terms;
  const { rankCount, layerCount, expertCount, slotsPerRank, expertBytes } = settings;
  const { activationTimeoutMs, armMarginSteps, smoothingMs, trendMs, planIntervalMs } = settings;
  const shape = { rankCount, layerCount, expertCount, slotsPerRank, expertBytes, failureDomains };
  return {
    shape,
    lead: { shape, epoch, decidedVersion, startAtMs, activationTimeoutMs, armMarginSteps },
    load: { smoothingMs, trendMs, maxAgeMs: settings.reportIntervalMs * maxMissedWindows },
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
