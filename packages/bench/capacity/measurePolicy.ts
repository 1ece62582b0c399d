import { RequestClass } from "@clementinemux/common/RequestClass";
import { TargetKind } from "@clementinemux/common/TargetKind";
import { createRandom } from "@clementinemux/common/createRandom";
import { AttemptEndKind } from "@clementinemux/policy/AttemptEndKind";
import { PolicyActionKind } from "@clementinemux/policy/PolicyActionKind";
import type { EntryPolicy } from "@clementinemux/policy/EntryPolicy";
import type { PolicyRequest } from "@clementinemux/policy/PolicyRequest";
import type { TargetView } from "@clementinemux/policy/TargetView";
import { createPolicy } from "@clementinemux/policy/createPolicy";
import type { Slope } from "./Slope";
import { createAnnouncement } from "./createAnnouncement";
import { createSlope } from "./createSlope";
import { createTeamConfig } from "./createTeamConfig";
import { measureCpuMs } from "./measureCpuMs";
import { measureRetainedBytes } from "./measureRetainedBytes";

const candidateCounts = [32, 96, 192, 384, 672] as const;
const teamCounts = [500, 1000, 2000, 4100] as const;
const requestCount = 200;
const prefixBlocks = 16;

/** Measures the slopes of one entry's policy, which decides on admission and chooses the target. */
export function measurePolicy(): Slope[] {
  return [
    createSlope(
      "policy.decisionCpuMs",
      "ms/request/candidate",
      candidateCounts,
      (count) =>
        measureCpuMs(
          () => createLoaded(count, 0),
          (policy) => {
            for (let index = 0; index < requestCount; index += 1) {
              runRequest(policy, index, `team-${index % 12}`);
            }
          },
        ) / requestCount,
    ),
    createSlope("policy.applyTargetsCpuMs", "ms/refresh/target", candidateCounts, (count) => {
      const views = createViews(count);
      return (
        measureCpuMs(
          () => createLoaded(count, 0),
          (policy) => {
            for (let round = 0; round < 20; round += 1) {
              policy.applyTargets(views, round);
            }
          },
        ) / 20
      );
    }),
    createSlope(
      "policy.tickCpuMs",
      "ms/tick/target",
      candidateCounts,
      (count) =>
        measureCpuMs(
          () => createLoaded(count, 0),
          (policy) => {
            for (let round = 0; round < 100; round += 1) {
              policy.onTick(round * 25);
            }
          },
        ) / 100,
    ),
    createSlope("policy.targetBytes", "B/target", candidateCounts, (count) =>
      measureRetainedBytes(() => createLoaded(count, 0)),
    ),
    createSlope("policy.teamBytes", "B/team with an exception that has called", teamCounts, (count) =>
      measureRetainedBytes(() => {
        const policy = createLoaded(32, count);
        for (let index = 0; index < count; index += 1) {
          runRequest(policy, index, `team-${index}`);
        }
        return policy;
      }),
    ),
    createSlope(
      "policy.decisionCpuMsByTeam",
      "ms/request/exception",
      teamCounts,
      (count) =>
        measureCpuMs(
          () => createLoaded(96, count),
          (policy) => {
            for (let index = 0; index < requestCount; index += 1) {
              runRequest(policy, index, `team-${index}`);
            }
          },
        ) / requestCount,
    ),
  ];
}

function createLoaded(targetCount: number, teamCount: number): EntryPolicy {
  const config = createTeamConfig(teamCount);
  const wide = { teamRequestsPerS: 100_000, teamTokensPerS: 1e9 };
  const policy = createPolicy({
    config: { ...config, defaults: { ...config.defaults, ...wide } },
    entryId: "entry-1",
    failureDomain: "fd-1",
    region: "region-1",
    random: createRandom(1),
    startedAtMs: -10_000,
  });
  policy.applyTargets(createViews(targetCount), 0);
  return policy;
}

/** All targets serve the requested model, so each is a candidate. */
function createViews(count: number): TargetView[] {
  return Array.from({ length: count }, (_, index) => ({
    announcement: { ...createAnnouncement(index), models: ["model-0"] },
    accepting: true,
    membershipWeight: 1,
    load: {
      measuredAtMs: 0,
      runningCount: index % 8,
      queuedCount: 0,
      runningTokenCount: 0,
      batchLimitCount: 64,
      stepMs: 20,
      kvFreeShare: 0.8,
      groupSkew: 1,
    },
  }));
}

function runRequest(policy: EntryPolicy, index: number, team: string): void {
  for (const action of policy.submit(createRequest(index, team), index)) {
    if (action.kind === PolicyActionKind.Dispatch) {
      policy.onTokens(action.attemptId, 1, index);
      policy.onAttemptEnded(action.attemptId, AttemptEndKind.Completed, index);
    }
  }
}

function createRequest(index: number, team: string): PolicyRequest {
  return {
    requestId: `request-${index}`,
    team,
    kind: TargetKind.Engine,
    model: "model-0",
    adapter: "",
    requestClass: RequestClass.Standard,
    arrivedAtMs: index,
    deadlineAtMs: index + 60_000,
    promptTokenCount: 400,
    maxTokenCount: 400,
    prefixHashes: Array.from({ length: prefixBlocks }, (_, block) => index * 31 + block),
    repeatable: true,
  };
}
