import { hashString } from "@clementinemux/common/hashString";

interface SubsetUnit {
  /** Group name, or the name of a target that runs alone. */
  readonly name: string;
  readonly failureDomain: string;
}

/**
 * Assigns units to each entry: deterministic, independent of the order of the arguments, stable when an
 * entry restarts under its name, with at most one unit more per entry than the mean, and spread over failure
 * domains. Returns the unit names by entry.
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

/** Takes the best ranked units: first those in a new failure domain below the bound, then any below it. */
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
