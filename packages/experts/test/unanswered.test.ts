import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { FenceNumbers } from "@clementinemux/experts/hold/FenceNumbers";
import { GroupActivation } from "@clementinemux/experts/hold/GroupActivation";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { createTurnHosting } from "@clementinemux/experts/hold/createTurnHosting";
import { HeldGroup } from "./HeldGroup";

interface SentOrder {
  readonly order: HoldOrder;
  readonly fence: number;
}

const ranks = 4;
const hosting = createTurnHosting(1, 4, ranks);
const reservedVersion = 1_000_000;

function createIdleGroup(): HeldGroup {
  const group = new HeldGroup({ ranks, random: createRandom(1), lateShare: 0 });
  group.isIdle = true;
  return group;
}

/** Has all ranks prepare version 1. */
function prepare(group: HeldGroup): void {
  for (const state of group.ranks) {
    Object.assign(state, { preparedVersion: 1, highestVersion: 1 });
  }
}

/** Lead whose first order that `isLost` picks gets no answer; `late` holds it, to be carried out later. */
function createLead(
  group: HeldGroup,
  isLost: (order: HoldOrder) => boolean,
  onOrder: (order: HoldOrder) => void = () => undefined,
): { readonly lead: GroupActivation; readonly late: SentOrder[] } {
  const late: SentOrder[] = [];
  const lead = new GroupActivation({
    inspect: (rank) => Promise.resolve(group.inspect(rank)),
    order: (order, { number }) => {
      onOrder(order);
      if (late.length === 0 && isLost(order)) {
        late.push({ order, fence: number });
        return Promise.resolve(null);
      }
      return Promise.resolve(group.order(order, number));
    },
    fences: FenceNumbers.ofTerm(2),
    nowMs: () => group.nowMs,
    reservedVersion,
  });
  return { lead, late };
}

function carryOut(group: HeldGroup, late: readonly SentOrder[]): void {
  for (const { order, fence } of late) {
    group.order(order, fence);
  }
}

async function look(lead: GroupActivation, group: HeldGroup): Promise<void> {
  await lead.advance(group.ranks.map((state) => ({ ...state })));
}

// Guards against one armed rank in a group that was let go: an idle group begins no pass, so a late order to arm waits there.
t.test("an order to arm without an answer is void when the group goes on", async (t) => {
  const group = createIdleGroup();
  prepare(group);
  const { lead, late } = createLead(group, ({ kind, rank }) => {
    const isArm = kind === HoldOrderKind.Arm && rank === 2;
    if (isArm) {
      // The map cannot be completed any more, so that the lead gives up.
      Object.assign(group.ranks[1] ?? {}, { preparedVersion: null, armed: null });
    }
    return isArm;
  });
  lead.aim({ version: 1, epoch: 1, hosting });
  await look(lead, group);
  t.equal(late.length, 1);
  t.ok(
    group.ranks.every(({ armed, heldStep }) => armed === null && heldStep === null),
    "the lead has let the group go",
  );
  carryOut(group, late);
  group.isIdle = false;
  group.advance(300);
  t.equal(group.mixedPasses, 0);
});

// Guards against a group that goes on while only some ranks are armed, by a late go for a pass that is held again.
t.test("an order to go without an answer does not end a later hold of the same pass", async (t) => {
  const group = createIdleGroup();
  let isSecond = false;
  let arms = 0;
  const { lead, late } = createLead(
    group,
    ({ kind }) => kind === HoldOrderKind.Go,
    ({ kind }) => {
      arms += kind === HoldOrderKind.Arm ? 1 : 0;
      if (isSecond && kind === HoldOrderKind.Arm && arms === 3) {
        carryOut(group, late);
        group.isIdle = false;
        group.advance(200);
      }
    },
  );
  Object.assign(group.ranks[0] ?? {}, { heldStep: 2 });
  // The first hold has nothing to arm, so that it is ended.
  await look(lead, group);
  await look(lead, group);
  t.equal(late.length, 1);
  t.equal(group.ranks[0]?.heldStep, null);
  isSecond = true;
  prepare(group);
  lead.aim({ version: 1, epoch: 1, hosting });
  for (let round = 0; round < 10; round += 1) {
    await look(lead, group);
    group.advance(30);
  }
  t.ok(arms >= 3);
  t.equal(group.mixedPasses, 0);
  t.ok(group.ranks.every(({ mapVersion }) => mapVersion === 1));
});

// Guards against orders of a process that an activation was handed to, and that goes on after the lead has taken it back.
t.test("a process that has heard nothing of a later order is refused", async (t) => {
  const group = createIdleGroup();
  prepare(group);
  const fences = FenceNumbers.ofTerm(2);
  const handedOver = fences.handOver();
  const arm: HoldOrder = { kind: HoldOrderKind.Arm, rank: 1, epoch: 1, version: 1, step: 2 };
  const lead = new GroupActivation({
    inspect: (rank) => Promise.resolve(group.inspect(rank)),
    order: (order, { number }) => Promise.resolve(group.order(order, number)),
    fences,
    nowMs: () => group.nowMs,
    reservedVersion,
  });
  group.order({ kind: HoldOrderKind.Hold, rank: 0, epoch: 1, step: 2 }, handedOver);
  lead.noteUnknownOrders(group.ranks);
  await look(lead, group);
  t.equal(group.ranks[0]?.heldStep, null);
  t.equal(group.order(arm, handedOver), false);
  group.isIdle = false;
  group.advance(300);
  t.equal(group.mixedPasses, 0);
});

// Guards against a group that is held for ever because one rank takes no orders. Late orders come 12 s late at the most.
t.test("a rank that takes no orders is trusted after its late orders are over", async (t) => {
  const group = createIdleGroup();
  const { lead, late } = createLead(group, () => false);
  lead.aim({ version: 1, epoch: 1, hosting });
  await look(lead, group);
  group.advance(250);
  const deaf = new GroupActivation({
    inspect: (rank) => Promise.resolve(group.inspect(rank)),
    order: (order, { number }) => Promise.resolve(order.rank === 2 ? null : group.order(order, number)),
    fences: FenceNumbers.ofTerm(3),
    nowMs: () => group.nowMs,
    reservedVersion,
  });
  t.equal(late.length, 0);
  group.isIdle = false;
  Object.assign(group.ranks[0] ?? {}, { heldStep: (group.ranks[0]?.step ?? 0) + 2 });
  deaf.aim({ version: 1, epoch: 1, hosting });
  deaf.noteUnknownOrders(group.ranks);
  Object.assign(group.ranks[1] ?? {}, { preparedVersion: null });
  const heldSinceMs = group.nowMs;
  while (group.ranks[0]?.heldStep !== null && group.nowMs - heldSinceMs < 60_000) {
    await look(deaf, group);
    group.advance(30);
  }
  t.ok(group.nowMs - heldSinceMs < 15_000, `held for ${group.nowMs - heldSinceMs} ms`);
  t.ok(group.nowMs - heldSinceMs > 12_000);
});

t.test("numbers of a later term are higher, and those set aside lie below the lead's next ones", (t) => {
  const [older, newer] = [FenceNumbers.ofTerm(2), FenceNumbers.ofTerm(3)];
  const raised = older.raise(older.raise(older.floor));
  const handedOver = older.handOver();
  t.ok(handedOver > raised);
  t.ok(older.floor > handedOver);
  const raisedAgain = older.raise(older.floor);
  t.ok(older.handOver() > raisedAgain, "also those set aside after a raise");
  t.ok(newer.floor > older.floor);
  t.equal(FenceNumbers.getTerm(handedOver), 2);
  t.end();
});
