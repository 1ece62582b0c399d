import { createRandom } from "@clementinemux/common/createRandom";
import { hashString } from "@clementinemux/common/hashString";
import type { SubsetEntry } from "./SubsetEntry";
import { SubsetKind } from "./SubsetKind";
import type { SubsetUnit } from "./SubsetUnit";
import { assignBalanced } from "./assignBalanced";

type Assignment = ReadonlyMap<string, readonly string[]>;
type Assigner = (entries: readonly SubsetEntry[], units: readonly SubsetUnit[], size: number) => Assignment;

const assigners: Readonly<Record<SubsetKind, Assigner>> = {
  [SubsetKind.Random]: (entries, units, size) =>
    assignEach(entries, ({ id }) => {
      const random = createRandom(hashString(id));
      const ids = units.map((unit) => unit.id);
      return Array.from({ length: Math.min(size, ids.length) }, () =>
        ids.splice(Math.floor(random() * ids.length), 1),
      ).flat();
    }),
  [SubsetKind.Rendezvous]: (entries, units, size) =>
    assignEach(entries, ({ id }) =>
      units
        .map((unit) => ({ id: unit.id, rank: hashString(`${id}/${unit.id}`) }))
        .sort((left, right) => right.rank - left.rank)
        .slice(0, size)
        .map((unit) => unit.id),
    ),
  [SubsetKind.Balanced]: assignBalanced,
};

/**
 * Assigns `size` units of one model to every entry, or all units if there are no more than that. The result
 * depends only on the arguments, so every relay computes the same subsets.
 */
export function assignSubsets(
  kind: SubsetKind,
  entries: readonly SubsetEntry[],
  units: readonly SubsetUnit[],
  size: number,
): Assignment {
  if (units.length <= size) {
    return assignEach(entries, () => units.map(({ id }) => id));
  }
  return assigners[kind](entries, units, size);
}

function assignEach(
  entries: readonly SubsetEntry[],
  choose: (entry: SubsetEntry) => readonly string[],
): Assignment {
  return new Map(entries.map((entry) => [entry.id, choose(entry)]));
}
