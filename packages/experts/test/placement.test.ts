import fc from "fast-check";
import t from "tap";
import { TargetRole } from "@clementinemux/common/TargetRole";
import { shareGrants } from "@clementinemux/experts/grants/shareGrants";
import type { PlacementItem } from "@clementinemux/experts/placement/PlacementItem";
import type { PlacementOrder } from "@clementinemux/experts/placement/PlacementOrder";
import { PlacementOrderKind } from "@clementinemux/experts/placement/PlacementOrderKind";
import type { RunnerState } from "@clementinemux/experts/placement/RunnerState";
import { planPlacement } from "@clementinemux/experts/placement/planPlacement";

const names = ["m0", "m1", "m2", "a0"];
const arbitraryItems = fc
  .tuple(...names.map(() => fc.double({ min: 0, max: 5, noNaN: true })))
  .map((demands) =>
    names.map((name, index): PlacementItem => {
      const isAdapter = name === "a0";
      const demandRunners = (demands[index] ?? 0) < 1 ? 0 : (demands[index] ?? 0);
      return { name, sizeBytes: isAdapter ? 5 : 40, demandRunners, base: isAdapter ? "m0" : null };
    }),
  );
const arbitraryRunners = fc
  .array(
    fc.record({
      items: fc.subarray(["m0", "m1", "m2"], { maxLength: 2 }),
      role: fc.constantFrom(TargetRole.Both, TargetRole.Prefill, TargetRole.Decode),
      isLeaving: fc.boolean(),
      capacityBytes: fc.constantFrom(50, 100),
    }),
    { minLength: 2, maxLength: 9 },
  )
  .map((runners) =>
    runners.map((runner, index): RunnerState => ({
      ...runner,
      target: `r${index}`,
      failureDomain: `fd${index % 3}`,
      capacityBytes: 100,
    })),
  );

/** Applies orders one by one and returns the first rule that a resulting state violates. */
function findBrokenRule(
  items: PlacementItem[],
  runners: RunnerState[],
  orders: PlacementOrder[],
): string | null {
  const held = new Map(runners.map((runner) => [runner.target, new Set(runner.items)]));
  const sizes = new Map(items.map(({ name, sizeBytes }) => [name, sizeBytes]));
  const countCopies = (name: string): number =>
    runners.filter((runner) => !runner.isLeaving && held.get(runner.target)!.has(name)).length;
  const countDomains = (name: string): number =>
    new Set(
      runners
        .filter((one) => !one.isLeaving && held.get(one.target)!.has(name))
        .map((one) => one.failureDomain),
    ).size;
  for (const order of orders) {
    const set = held.get(order.target)!;
    if (order.kind === PlacementOrderKind.Load) {
      set.add(order.item);
      const { capacityBytes } = runners.find(({ target }) => target === order.target)!;
      const used = [...set].reduce((sum, name) => sum + (sizes.get(name) ?? 0), 0);
      if (used > capacityBytes || (order.item === "a0" && !set.has("m0"))) {
        return `load of ${order.item} on ${order.target}`;
      }
    } else if (order.kind === PlacementOrderKind.Unload) {
      const isUsed = items.some(({ name, demandRunners }) => name === order.item && demandRunners > 0);
      const domainsBefore = countDomains(order.item);
      set.delete(order.item);
      if (isUsed && (countCopies(order.item) < 2 || countDomains(order.item) < Math.min(2, domainsBefore))) {
        return `unload of ${order.item} on ${order.target}`;
      }
    }
  }
  return null;
}

// Guards against unloading the last copies of a model in use, overfilled runners, and adapters without their
// base.
t.test("placement keeps models served", (t) => {
  const check = fc.property(
    arbitraryItems,
    arbitraryRunners,
    fc.constantFrom(0, 45, 200, 1e9),
    (items, runners, maxBytes) => {
      const orders = planPlacement({ items, runners, prefillShare: 0.5, maxBytes });
      const loaded = orders.reduce(
        (sum, order) => sum + (order.kind === PlacementOrderKind.Load ? order.sizeBytes : 0),
        0,
      );
      const broken = findBrokenRule(items, runners, orders);
      if (broken !== null || loaded > maxBytes) {
        throw new Error(broken ?? "limit of bytes exceeded");
      }
    },
  );
  t.doesNotThrow(() => {
    fc.assert(check, { seed: 20_105, numRuns: 1500 });
  });
  t.end();
});

// Guards against a model that the loss of one failure domain leaves without a copy although there is room.
t.test("loss of a domain leaves each model served", (t) => {
  const items = ["m0", "m1", "m2"].map((name) => ({ name, sizeBytes: 40, demandRunners: 1, base: null }));
  // Runners of the first domain have the most free memory, so a choice by memory alone would use only them.
  const runners = Array.from({ length: 9 }, (_, index) => ({
    target: `r${index}`,
    failureDomain: `fd${Math.floor(index / 3)}`,
    capacityBytes: index < 3 ? 1000 : 45,
    items: index < 3 ? [`m${index}`] : ["idle"],
    role: TargetRole.Both,
    isLeaving: false,
  }));
  const idle = { name: "idle", sizeBytes: 5, demandRunners: 0, base: null };
  const orders = planPlacement({ items: [...items, idle], runners, prefillShare: 0.5, maxBytes: 1e9 });
  for (const { name } of items) {
    const targets = orders.flatMap((order) =>
      order.kind === PlacementOrderKind.Load && order.item === name ? [order.target] : [],
    );
    t.equal(targets.length, 1);
    t.ok(!["r0", "r1", "r2"].includes(targets[0] ?? "r0"));
  }
  t.end();
});

// Guards against an unload that leaves copies in only one failure domain.
t.test("surplus copy in the second domain stays", (t) => {
  const items = [
    { name: "m0", sizeBytes: 40, demandRunners: 1, base: null },
    { name: "m1", sizeBytes: 40, demandRunners: 1, base: null },
  ];
  const runners = ["fd1", "fd0", "fd0"].map((failureDomain, index) => ({
    target: `r${index}`,
    failureDomain,
    capacityBytes: 50,
    items: ["m0"],
    role: TargetRole.Both,
    isLeaving: false,
  }));
  const orders = planPlacement({ items, runners, prefillShare: 0.5, maxBytes: 1e9 });
  t.same(orders, [
    { kind: PlacementOrderKind.Unload, target: "r1", item: "m0" },
    { kind: PlacementOrderKind.Load, target: "r1", item: "m1", sizeBytes: 40 },
  ]);
  t.end();
});

// Guards against more than one change of role per plan, and against a model without a copy in one of the
// roles.
t.test("roles follow the demand, one change at a time", (t) => {
  const items = [{ name: "m0", sizeBytes: 40, demandRunners: 1, base: null }];
  const roles = [TargetRole.Prefill, TargetRole.Prefill, TargetRole.Prefill, TargetRole.Decode];
  const runners = roles.map((role, index) => ({
    target: `r${index}`,
    failureDomain: `fd${index}`,
    capacityBytes: 50,
    items: ["m0"],
    role,
    isLeaving: false,
  }));
  const input = { items, runners, prefillShare: 0.25, maxBytes: 0 };
  t.same(planPlacement(input), [{ kind: PlacementOrderKind.SetRole, target: "r0", role: TargetRole.Decode }]);
  t.same(planPlacement({ ...input, prefillShare: 1, runners: runners.slice(2) }), []);
  t.end();
});

// Guards against a group that gets the whole bandwidth, and against half-prepared maps that wait for new
// ones.
t.test("grants are fair and prefer half-prepared maps", (t) => {
  const requests = [
    { group: "g1", remainingBytes: 100, isHalfPrepared: false },
    { group: "g2", remainingBytes: 10, isHalfPrepared: false },
    { group: "g3", remainingBytes: 30, isHalfPrepared: true },
    { group: "g4", remainingBytes: 100, isHalfPrepared: false },
  ];
  t.same([...shareGrants(requests, 100)].sort(), [
    ["g1", 30],
    ["g2", 10],
    ["g3", 30],
    ["g4", 30],
  ]);
  t.same([...shareGrants(requests, 20)].sort(), [
    ["g1", 0],
    ["g2", 0],
    ["g3", 20],
    ["g4", 0],
  ]);
  t.end();
});
