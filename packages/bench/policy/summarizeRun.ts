import { Outcome } from "@clementinemux/common/Outcome";
import { RequestClass } from "@clementinemux/common/RequestClass";
import type { RequestRecord } from "./RequestRecord";

interface RunSummary {
  readonly requests: number;
  readonly importantOnTime: number;
  readonly otherOnTime: number;
  /** Over all classes; only requests that received a first token. */
  readonly firstTokenP95Ms: number;
  readonly importantFirstTokenP95Ms: number;
  /** Time from arrival to rejection. A late rejection leaves the caller less time to try elsewhere. */
  readonly refusedAfterP95Ms: number;
  readonly wastedTokensShare: number;
  readonly refusedThenRun: number;
  readonly wrongAnswer: number;
  readonly truncatedSilently: number;
}

/**
 * Computes the results of one run. `computedTokenCount` is the number of tokens that the engines computed,
 * prefill included. Tokens that are not part of a complete response on time are wasted: repeated prefill,
 * cancelled attempts.
 */
export function summarizeRun(records: readonly RequestRecord[], computedTokenCount: number): RunSummary {
  const measured = records.filter(({ isMeasured }) => isMeasured);
  const important = measured.filter(({ request }) => request.requestClass === RequestClass.Important);
  const others = measured.filter(({ request }) => request.requestClass !== RequestClass.Important);
  const usefulTokens = records
    .filter((record) => isOnTime(record))
    .reduce((sum, record) => sum + record.outputTokenCount + (record.firstPrefillCount ?? 0), 0);
  return {
    requests: measured.length,
    importantOnTime: getOnTimeShare(important),
    otherOnTime: getOnTimeShare(others),
    firstTokenP95Ms: getFirstTokenP95(measured),
    importantFirstTokenP95Ms: getFirstTokenP95(important),
    refusedAfterP95Ms: getRefusedAfterP95(measured),
    wastedTokensShare: round(1 - usefulTokens / Math.max(1, computedTokenCount)),
    refusedThenRun: records.filter(
      ({ refusedOutcome, hasRun }) => refusedOutcome === Outcome.NotRun && hasRun,
    ).length,
    wrongAnswer: records.filter(({ isIncorrect }) => isIncorrect).length,
    truncatedSilently: records.filter(
      ({ completedAtMs, deliveredCount, outputTokenCount }) =>
        completedAtMs !== null && deliveredCount !== outputTokenCount,
    ).length,
  };
}

function isOnTime({ completedAtMs, request, deliveredCount, outputTokenCount }: RequestRecord): boolean {
  return (
    completedAtMs !== null && completedAtMs <= request.deadlineAtMs && deliveredCount === outputTokenCount
  );
}

function getOnTimeShare(records: readonly RequestRecord[]): number {
  return round(records.filter((record) => isOnTime(record)).length / Math.max(1, records.length));
}

function getFirstTokenP95(records: readonly RequestRecord[]): number {
  return getP95(
    records.map(({ firstTokenAtMs, request }) => getElapsedMs(request.arrivedAtMs, firstTokenAtMs)),
  );
}

function getRefusedAfterP95(records: readonly RequestRecord[]): number {
  return getP95(records.map(({ refusedAtMs, request }) => getElapsedMs(request.arrivedAtMs, refusedAtMs)));
}

function getElapsedMs(fromMs: number, toMs: number | null): number | null {
  return toMs === null ? null : toMs - fromMs;
}

/** Ignores the values that are null. */
function getP95(values: readonly (number | null)[]): number {
  const sorted = values.filter((value) => value !== null).sort((left, right) => left - right);
  return Math.round(sorted[Math.floor(sorted.length * 0.95)] ?? 0);
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
