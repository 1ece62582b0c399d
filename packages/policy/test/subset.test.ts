import t from "tap";
import { SubsetKind } from "@clementinemux/policy/subset/SubsetKind";
import { assignSubsets } from "@clementinemux/policy/subset/assignSubsets";

const entries = Array.from({ length: 70 }, (_, index) => ({ id: `e${index}`, region: `r${index % 5}` }));
const units = Array.from({ length: 75 }, (_, index) => ({
  id: `g${index}`,
  region: `r${index % 5}`,
  failureDomain: `d${index % 15}`,
}));

// Guards against groups that no entry uses, and groups that too many entries use.
t.test("no group exceeds the rounded mean", (t) => {
  const loads = new Map<string, number>();
  for (const id of [...assignSubsets(SubsetKind.Balanced, entries, units, 3).values()].flat()) {
    loads.set(id, (loads.get(id) ?? 0) + 1);
  }
  t.ok(Math.max(...loads.values()) <= Math.ceil((70 * 3) / 75));
  t.equal(loads.size, 75);
  t.end();
});

// Guards against a subset whose units are all in one failure domain.
t.test("subset spans several failure domains", (t) => {
  const domains = new Map(units.map(({ id, failureDomain }) => [id, failureDomain]));
  for (const ids of assignSubsets(SubsetKind.Balanced, entries, units, 3).values()) {
    t.equal(new Set(ids.map((id) => domains.get(id))).size, 3);
  }
  t.end();
});

// Guards against relays that compute different subsets because they received entries and groups in another
// order.
t.test("order of arguments has no effect", (t) => {
  const first = assignSubsets(SubsetKind.Balanced, entries, units, 3);
  const second = assignSubsets(SubsetKind.Balanced, entries.toReversed(), units.toReversed(), 3);
  t.same([...second].sort(), [...first].sort());
  t.end();
});

// Guards against reassigning the whole fleet when one group is added.
t.test("one added group changes few subsets", (t) => {
  const before = assignSubsets(SubsetKind.Balanced, entries, units, 3);
  const added = { id: "g75", region: "r0", failureDomain: "d0" };
  const after = assignSubsets(SubsetKind.Balanced, entries, [...units, added], 3);
  const moved = [...after].flatMap(([id, ids]) =>
    ids.filter((unit) => before.get(id)?.includes(unit) !== true),
  );
  t.ok(moved.length <= 21, `${moved.length} of 210 pairs moved`);
  t.end();
});

// Guards against a small fleet that is divided into subsets.
t.test("entries of a small fleet get all units", (t) => {
  const subsets = assignSubsets(SubsetKind.Balanced, entries, units.slice(0, 3), 3);
  t.ok([...subsets.values()].every(({ length }) => length === 3));
  t.end();
});
