import { hashString } from "@clementinemux/common/hashString";
import type { SubsetEntry } from "./SubsetEntry";
import type { SubsetUnit } from "./SubsetUnit";

interface LoadedUnit {
  readonly unit: SubsetUnit;
  readonly capacity: number;
  load: number;
}

/**
 * Rendezvous hashing with bounded loads. Entries choose in rounds, in the order of their hashed ids. In each
 * round an entry takes its highest-ranked unit that has capacity left, preferring failure domains that it has
 * no unit in. The capacity of a unit is the mean load rounded up, which bounds the imbalance. The hashed
 * ranks make most choices independent of other entries and units, which bounds the churn. Units of the
 * entry's own region come first as long as they have capacity.
 */
export function assignBalanced(
  entries: readonly SubsetEntry[],
  units: readonly SubsetUnit[],
  size: number,
): ReadonlyMap<string, readonly string[]> {
  const capacity = Math.ceil((entries.length * size) / units.length);
  const loaded = units.map((unit) => ({ unit, capacity, load: 0 }));
  const ordered = [...entries].sort(compareByHash);
  const rankings = new Map(ordered.map((entry) => [entry.id, rankUnits(entry, loaded)]));
  const chosen = new Map(ordered.map(({ id }): [string, LoadedUnit[]] => [id, []]));
  for (let round = 0; round < size; round += 1) {
    for (const { id } of ordered) {
      const taken = chosen.get(id) ?? [];
      const unit = chooseUnit(rankings.get(id) ?? [], taken);
      if (unit !== null) {
        unit.load += 1;
        taken.push(unit);
      }
    }
  }
  return new Map([...chosen].map(([id, taken]) => [id, taken.map(({ unit }) => unit.id)]));
}

function compareByHash(left: SubsetEntry, right: SubsetEntry): number {
  return hashString(left.id) - hashString(right.id) || (left.id < right.id ? -1 : 1);
}

function rankUnits(entry: SubsetEntry, units: readonly LoadedUnit[]): readonly LoadedUnit[] {
  return units
    .map((loaded) => ({
      loaded,
      isNear: loaded.unit.region === entry.region ? 1 : 0,
      rank: hashString(`${entry.id}/${loaded.unit.id}`),
    }))
    .sort((left, right) => right.isNear - left.isNear || right.rank - left.rank)
    .map(({ loaded }) => loaded);
}

/** Prefers a unit with capacity in a new failure domain, then any with capacity, then the least loaded. */
function chooseUnit(ranking: readonly LoadedUnit[], taken: readonly LoadedUnit[]): LoadedUnit | null {
  const domains = new Set(taken.map(({ unit }) => unit.failureDomain));
  const free = ranking.filter((candidate) => !taken.includes(candidate));
  const open = free.filter(({ load, capacity }) => load < capacity);
  const spread = open.find(({ unit }) => !domains.has(unit.failureDomain));
  return spread ?? open[0] ?? findLeastLoaded(free);
}

function findLeastLoaded(units: readonly LoadedUnit[]): LoadedUnit | null {
  let least: LoadedUnit | null = null;
  for (const unit of units) {
    if (least === null || unit.load < least.load) {
      least = unit;
    }
  }
  return least;
}
