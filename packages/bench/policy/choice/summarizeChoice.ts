import type { ChoiceRequest } from "./ChoiceRequest";
import { choiceParameters } from "./choiceParameters";

interface ChoiceSummary {
  readonly requests: number;
  readonly rejectedShare: number;
  readonly onTimeShare: number;
  readonly firstP50Ms: number;
  readonly firstP99Ms: number;
  readonly longestGapP50Ms: number;
  readonly longestGapP99Ms: number;
  /** From arrival to the last event. */
  readonly endP50Ms: number;
  readonly endP99Ms: number;
  readonly preemptions: number;
}

const { objectiveMs, gapObjectiveMs } = choiceParameters;

/** Computes the results of the measured requests of a run. */
export function summarizeChoice(requests: readonly ChoiceRequest[]): ChoiceSummary {
  const measured = requests.filter(({ isMeasured }) => isMeasured);
  const served = measured.filter(({ firstAtMs }) => firstAtMs !== null);
  const firsts = sort(served.map(({ firstAtMs, arrivedAtMs }) => (firstAtMs ?? 0) - arrivedAtMs));
  const gaps = sort(served.map(({ longestGapMs }) => longestGapMs));
  const ends = sort(served.map(({ lastAtMs, arrivedAtMs }) => (lastAtMs ?? 0) - arrivedAtMs));
  return {
    requests: measured.length,
    rejectedShare: getShare(measured, ({ isRejected }) => isRejected),
    onTimeShare: getShare(measured, isOnTime),
    firstP50Ms: getQuantile(firsts, 0.5),
    firstP99Ms: getQuantile(firsts, 0.99),
    longestGapP50Ms: getQuantile(gaps, 0.5),
    longestGapP99Ms: getQuantile(gaps, 0.99),
    endP50Ms: getQuantile(ends, 0.5),
    endP99Ms: getQuantile(ends, 0.99),
    preemptions: measured.reduce((sum, request) => sum + request.preemptions, 0),
  };
}

function isOnTime({ firstAtMs, arrivedAtMs, longestGapMs, doneEvents, events }: ChoiceRequest): boolean {
  const isFirstOnTime = firstAtMs !== null && firstAtMs - arrivedAtMs <= objectiveMs;
  return isFirstOnTime && longestGapMs <= gapObjectiveMs && doneEvents === events;
}

function getShare(requests: readonly ChoiceRequest[], test: (request: ChoiceRequest) => boolean): number {
  const share = requests.filter(test).length / Math.max(1, requests.length);
  return Math.round(share * 10_000) / 10_000;
}

function sort(values: readonly number[]): number[] {
  return [...values].sort((left, right) => left - right);
}

function getQuantile(sorted: readonly number[], share: number): number {
  return Math.round(sorted[Math.floor(sorted.length * share)] ?? 0);
}
