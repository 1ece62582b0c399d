import { hashString } from "@clementinemux/common/hashString";

interface SubsetUnit {
  /** Name of a group, or of a target without a group. */
  readonly name: string;
  readonly failureDomain: string;
}

/**
 * Assigns units (groups or single targets) to each entry and returns the unit names by entry. The result
 * depends neither on the order of the arguments nor on restarts of entries under the same name. A unit gets
 * at most the mean number of entries, rounded up, unless too few units are below that limit. The units of an
 * entry are spread over failure domains.
 */
export function assignSubset(
  entries: readonly string[],
  units: readonly SubsetUnit[],
  countPerEntry: number,
): Map<string, readonly string[]> {
  const loads = new Map(units.map(({ name }) => [name, 0]));
  const count = Math.min(countPerEntry, units.length);
  const maxLoad = units.length === 0 ? 0 : Math.ceil((entries.length * count) / units.length);
  const assigned = new Map<string, readonly string[]>();
  for (const entry of [...new Set(entries)].sort()) {
    const ranked = units
      .map((unit) => ({ unit, score: hashString(`${entry}|${unit.name}`) }))
      .sort((left, right) => left.score - right.score || (left.unit.name < right.unit.name ? -1 : 1))
      .map(({ unit }) => unit);
    const chosen = chooseUnits(ranked, loads, count, maxLoad);
    for (const name of chosen) {
      loads.set(name, (loads.get(name) ?? 0) + 1);
    }
    assigned.set(entry, chosen);
  }
  return assigned;
}

/**
 * Takes the best ranked units: first units below the load limit in a new failure domain, then any units below
 * the limit, then any units.
 */
function chooseUnits(
  ranked: readonly SubsetUnit[],
  loads: ReadonlyMap<string, number>,
  count: number,
  maxLoad: number,
): string[] {
  const chosen: string[] = [];
  const domains = new Set<string>();
  const isFree = ({ name }: SubsetUnit): boolean => (loads.get(name) ?? 0) < maxLoad;
  const rules: readonly ((unit: SubsetUnit) => boolean)[] = [
    (unit) => isFree(unit) && !domains.has(unit.failureDomain),
    isFree,
    () => true,
  ];
  for (const rule of rules) {
    for (const unit of ranked) {
      if (chosen.length < count && !chosen.includes(unit.name) && rule(unit)) {
        chosen.push(unit.name);
        domains.add(unit.failureDomain);
      }
    }
  }
  return chosen;
}
