import { RequestClass } from "@clementinemux/common/RequestClass";
import { RoutingKind } from "@clementinemux/policy/routing/RoutingKind";
import { FleetModel } from "./FleetModel";
import type { RequestRecord } from "./RequestRecord";
import type { Scenario } from "./Scenario";
import { deployments } from "./deployments";

const faultFromMs = 10_000;
const faultUntilMs = 20_000;
const durationMs = 50_000;
const windowMs = 1000;
const recoveredShare = 0.99;

const variants = [
  { name: "budget", retryBudgetEnabled: true, maxAttempts: 3 },
  { name: "noBudget", retryBudgetEnabled: false, maxAttempts: 3 },
  { name: "noBudgetTenAttempts", retryBudgetEnabled: false, maxAttempts: 10 },
];

/**
 * For 10 s the load is 1.5 times the capacity and 70% of the attempts fail after their prefill; then both
 * fall.
 */
const scenario: Scenario = {
  name: "retryStorm",
  durationMs,
  getLoadShare: (atMs) => (atMs >= faultFromMs && atMs < faultUntilMs ? 1.5 : 0.6),
  getFloodShare: () => 0,
  driftIntervalMs: 0,
  applyFaults: (engines, atMs) => {
    for (const engine of engines) {
      engine.prefillErrorShare = atMs >= faultFromMs && atMs < faultUntilMs ? 0.7 : 0;
    }
  },
  callerRetryCount: 3,
};

/** Measures how the fleet recovers from a retry storm, with and without the retry budget. */
export function runRetryStorm(seed: number): readonly object[] {
  return deployments.flatMap((deployment) =>
    variants.map(({ name, retryBudgetEnabled, maxAttempts }) => {
      const model = new FleetModel({
        deployment,
        scenario,
        routing: RoutingKind.Full,
        seed,
        retryBudgetEnabled,
        maxAttempts,
      });
      const records = model.run();
      const during = records.filter(({ request }) =>
        isBetween(request.arrivedAtMs, faultFromMs, faultUntilMs),
      );
      const after = records.filter(({ request }) => isBetween(request.arrivedAtMs, faultUntilMs, durationMs));
      return {
        deployment: deployment.name,
        variant: name,
        attemptsPerRequestDuring: getMeanAttempts(during),
        onTimeDuring: getOnTimeShare(during),
        importantOnTimeDuring: getOnTimeShare(during.filter(({ request }) => isImportant(request))),
        attemptsPerRequestAfter: getMeanAttempts(after),
        onTimeAfter: getOnTimeShare(after),
        recoveredAfterMs: getRecoveryMs(after),
      };
    }),
  );
}

/**
 * Time from the end of the fault until the on-time share of every later window is high enough; null if never.
 */
function getRecoveryMs(records: readonly RequestRecord[]): number | null {
  let recoveredAtMs: number | null = null;
  for (let fromMs = faultUntilMs; fromMs < durationMs; fromMs += windowMs) {
    const share = getOnTimeShare(
      records.filter(({ request }) => isBetween(request.arrivedAtMs, fromMs, fromMs + windowMs)),
    );
    if (share < recoveredShare) {
      recoveredAtMs = null;
    } else {
      recoveredAtMs ??= fromMs;
    }
  }
  return recoveredAtMs === null ? null : recoveredAtMs - faultUntilMs;
}

function isImportant({ requestClass }: RequestRecord["request"]): boolean {
  return requestClass === RequestClass.Important;
}

function isBetween(atMs: number, fromMs: number, untilMs: number): boolean {
  return atMs >= fromMs && atMs < untilMs;
}

function getMeanAttempts(records: readonly RequestRecord[]): number {
  const attempts = records.reduce((sum, { attemptCount }) => sum + attemptCount, 0);
  return round(attempts / Math.max(1, records.length));
}

function getOnTimeShare(records: readonly RequestRecord[]): number {
  const onTime = records.filter(
    ({ completedAtMs, request }) => completedAtMs !== null && completedAtMs <= request.deadlineAtMs,
  );
  return round(onTime.length / Math.max(1, records.length));
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
