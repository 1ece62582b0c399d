import type { SubsetEntry } from "@clementinemux/policy/subset/SubsetEntry";
import { SubsetKind } from "@clementinemux/policy/subset/SubsetKind";
import type { SubsetUnit } from "@clementinemux/policy/subset/SubsetUnit";
import { assignSubsets } from "@clementinemux/policy/subset/assignSubsets";

const entryCount = 350;
const groupCount = 375;
const regionCount = 5;
const domainCount = 15;
const sizes = [3, 6, 12, 21];
const changeCount = 5;

type Assignment = ReadonlyMap<string, readonly string[]>;

/**
 * Imbalance and churn of the subset assignments at design scale: 350 entries and 375 groups of 32 targets.
 * Imbalance is the number of entries per group relative to the mean. Churn is the number of (entry, group)
 * pairs that are new for existing entries when one entry or group is added or removed, as a mean over five
 * changes.
 */
export function runSubsetBench(): readonly object[] {
  const entries = Array.from({ length: entryCount }, (_, index) => createEntry(index));
  const units = Array.from({ length: groupCount }, (_, index) => createUnit(index));
  return sizes.flatMap((size) =>
    Object.values(SubsetKind).map((kind) => {
      const before = assignSubsets(kind, entries, units, size);
      const withEntry = (index: number): Assignment =>
        assignSubsets(kind, [...entries, createEntry(entryCount + index)], units, size);
      const withoutEntry = (index: number): Assignment =>
        assignSubsets(kind, entries.toSpliced(index * 60, 1), units, size);
      const withUnit = (index: number): Assignment =>
        assignSubsets(kind, entries, [...units, createUnit(groupCount + index)], size);
      const withoutUnit = (index: number): Assignment =>
        assignSubsets(kind, entries, units.toSpliced(index * 60, 1), size);
      return {
        kind,
        size,
        pairs: entryCount * size,
        ...getImbalance(before, units),
        domainsPerEntry: getMeanDomains(before, units),
        ownRegionShare: getOwnRegionShare(before, entries, units),
        churnEntryAdded: getMeanChurn(before, withEntry),
        churnEntryRemoved: getMeanChurn(before, withoutEntry),
        churnGroupAdded: getMeanChurn(before, withUnit),
        churnGroupRemoved: getMeanChurn(before, withoutUnit),
      };
    }),
  );
}

function createEntry(index: number): SubsetEntry {
  return { id: `entry-${index}`, region: `region-${index % regionCount}` };
}

function createUnit(index: number): SubsetUnit {
  return {
    id: `group-${index}`,
    failureDomain: `domain-${index % domainCount}`,
    region: `region-${index % regionCount}`,
  };
}

function getImbalance(assignment: Assignment, units: readonly SubsetUnit[]): object {
  const loads = new Map(units.map(({ id }) => [id, 0]));
  for (const id of [...assignment.values()].flat()) {
    loads.set(id, (loads.get(id) ?? 0) + 1);
  }
  const counts = [...loads.values()];
  const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
  const variance = counts.reduce((sum, count) => sum + (count - mean) ** 2, 0) / counts.length;
  return {
    maxOverMean: round(Math.max(...counts) / mean),
    minOverMean: round(Math.min(...counts) / mean),
    deviationOverMean: round(Math.sqrt(variance) / mean),
    groupsWithoutEntry: counts.filter((count) => count === 0).length,
  };
}

function getMeanDomains(assignment: Assignment, units: readonly SubsetUnit[]): number {
  const domains = new Map(units.map(({ id, failureDomain }) => [id, failureDomain]));
  const counts = [...assignment.values()].map((ids) => new Set(ids.map((id) => domains.get(id))).size);
  return round(counts.reduce((sum, count) => sum + count, 0) / counts.length);
}

function getOwnRegionShare(
  assignment: Assignment,
  entries: readonly SubsetEntry[],
  units: readonly SubsetUnit[],
): number {
  const regions = new Map(units.map(({ id, region }) => [id, region]));
  const pairs = entries.flatMap((entry) =>
    (assignment.get(entry.id) ?? []).map((id) => regions.get(id) === entry.region),
  );
  return round(pairs.filter((isOwn) => isOwn).length / pairs.length);
}

function getMeanChurn(before: Assignment, change: (index: number) => Assignment): number {
  const churns = Array.from({ length: changeCount }, (_, index) => countNewPairs(before, change(index)));
  return round(churns.reduce((sum, count) => sum + count, 0) / changeCount);
}

/** Counts the pairs that are new for entries of the earlier assignment. */
function countNewPairs(before: Assignment, after: Assignment): number {
  return [...after].reduce((sum, [id, units]) => {
    const previous = before.get(id);
    return previous === undefined ? sum : sum + units.filter((unit) => !previous.includes(unit)).length;
  }, 0);
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
