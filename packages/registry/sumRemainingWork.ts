import type { EntryRecord } from "./EntryRecord";

interface WorkSum {
  /** Requests whose work is reported. */
  known: number;
  /** Requests whose work is not reported. */
  unknown: number;
  remainingCs: number;
}

/**
 * Remaining work by target in hundredths of a second, in the order of `ids`. Requests of entries that do not
 * report it count with the mean of those that do. Null if none does.
 */
export function sumRemainingWork(
  entries: readonly Pick<EntryRecord, "inFlight" | "remainingCs">[],
  ids: readonly string[],
): number[] | null {
  const sums = new Map<string, WorkSum>();
  const total: WorkSum = { known: 0, unknown: 0, remainingCs: 0 };
  let isReported = false;
  for (const { inFlight, remainingCs } of entries) {
    const counts = Object.entries(inFlight);
    const isKnown = remainingCs?.length === counts.length;
    isReported ||= isKnown;
    for (const [index, [id, count]] of counts.entries()) {
      const sum = sums.get(id) ?? { known: 0, unknown: 0, remainingCs: 0 };
      sums.set(id, sum);
      for (const part of [sum, total]) {
        part[isKnown ? "known" : "unknown"] += count;
        part.remainingCs += isKnown ? (remainingCs[index] ?? 0) : 0;
      }
    }
  }
  const meanCs = total.remainingCs / Math.max(1, total.known);
  return isReported ? ids.map((id) => Math.round(complete(sums.get(id), meanCs))) : null;
}

/** Adds the mean for requests whose work is not reported. */
function complete(sum: WorkSum | undefined, meanCs: number): number {
  return sum === undefined ? 0 : sum.remainingCs + sum.unknown * meanCs;
}
