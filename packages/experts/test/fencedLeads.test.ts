import t from "tap";
import type { Test } from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { FenceNumbers } from "@clementinemux/experts/hold/FenceNumbers";
import { GroupActivation } from "@clementinemux/experts/hold/GroupActivation";
import type { HeldRank } from "@clementinemux/experts/hold/HeldRank";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { createTurnHosting } from "@clementinemux/experts/hold/createTurnHosting";
import { HeldGroup } from "./HeldGroup";

const ranks = 4;
const step = 3;
const version = 1;
const epoch = 1;
/** Version that no map has. A rank refuses to disarm the one in force, which is 0 here. */
const reservedVersion = 9;
/** Fence of the lead that has begun an activation, and of the one that replaces it. */
const oldFence = 2;
const newFence = 3;
/** Time after which an order without an answer is given up. */
const lostOrderMs = 70;

/** Group that has prepared a map, and is held before pass 3 by its old lead. */
function createHeldGroup(): HeldGroup {
  const group = new HeldGroup({ ranks, random: createRandom(1), lateShare: 0 });
  for (const state of group.ranks) {
    Object.assign(state, { preparedVersion: version, highestVersion: version });
  }
  group.advance(130);
  group.order({ kind: HoldOrderKind.Hold, rank: 0, epoch, step }, oldFence);
  return group;
}

function arm(group: HeldGroup, armedRanks: readonly number[]): void {
  for (const rank of armedRanks) {
    group.order({ kind: HoldOrderKind.Arm, rank, epoch, version, step }, oldFence);
  }
}

function letGo(group: HeldGroup): void {
  group.order({ kind: HoldOrderKind.Go, rank: 0, epoch, step }, oldFence);
}

/** Reports of all ranks; the one of rank 1 was read before its copies were complete. */
function readStates(group: HeldGroup): HeldRank[] {
  return group.ranks.map((state) =>
    state.rank === 1 ? { ...state, preparedVersion: null, armed: null } : { ...state },
  );
}

/** Lead that replaces the old one. Orders that are lost get no answer; `onLost` is called while it waits for one. */
function createNewLead(
  group: HeldGroup,
  isLost: (order: HoldOrder) => boolean,
  onLost: () => void = () => undefined,
): GroupActivation {
  return new GroupActivation({
    inspect: (rank) => Promise.resolve(group.inspect(rank)),
    order: async (order, { number }) => {
      const dueMs = group.nowMs + lostOrderMs;
      const answer = isLost(order) ? null : group.order(order, number);
      // Other orders of the same round are given in the meantime.
      await Promise.resolve();
      if (answer === null) {
        onLost();
        group.advance(Math.max(0, dueMs - group.nowMs));
      }
      return answer;
    },
    nowMs: () => group.nowMs,
    fences: new FenceNumbers(newFence),
    reservedVersion,
  });
}

/** Loses the first orders to disarm all ranks but one. */
function createDisarmLoss(): (order: HoldOrder) => boolean {
  const lostRanks = new Set([0, 3]);
  return ({ kind, rank }) => kind === HoldOrderKind.Disarm && lostRanks.delete(rank);
}

/** Has a lead go on for as long as a group may be held, and checks that the group has gone on by then. */
async function lookOn(t: Test, lead: GroupActivation, group: HeldGroup): Promise<void> {
  for (let look = 0; look < 10; look += 1) {
    await lead.advance(group.ranks.map((state) => ({ ...state })));
    group.advance(30);
  }
  t.equal(group.mixedPasses, 0);
  t.ok((group.ranks[0]?.step ?? 0) >= step, "the group goes on");
}

// Guards against a lead that takes an armed map away from some ranks of a group that the old lead has let go meanwhile.
t.test("a new lead disarms no group that runs", async (t) => {
  const group = createHeldGroup();
  arm(group, [0, 1, 2, 3]);
  const states = readStates(group);
  letGo(group);
  const lead = createNewLead(group, createDisarmLoss());
  await lead.advance(states);
  await lookOn(t, lead, group);
});

// Guards against the go of an old lead, which arrives late at a rank that has not heard the new lead yet.
t.test("an old lead lets no group go that a new one disarms", async (t) => {
  const group = createHeldGroup();
  arm(group, [0, 1, 2, 3]);
  const lead = createNewLead(group, createDisarmLoss(), () => {
    letGo(group);
  });
  await lead.advance(readStates(group));
  await lookOn(t, lead, group);
});

// Guards against a go that is given from reports that an order of the old lead to arm has outdated.
t.test("a new lead lets no group go while the old one arms it", async (t) => {
  const group = createHeldGroup();
  const states = readStates(group);
  arm(group, [0]);
  const lead = createNewLead(group, () => false);
  await lead.advance(states);
  group.advance(130);
  await lookOn(t, lead, group);
});

// Guards against an old order to arm that a rank carries out after the new lead has looked at it for the last time.
t.test("a rank that a new lead lets go obeys the old one no more", async (t) => {
  const group = createHeldGroup();
  const lead = createNewLead(group, () => false);
  await lead.advance(readStates(group));
  arm(group, [2]);
  group.advance(130);
  await lookOn(t, lead, group);
});

// Guards against a rank that counts as taken over although it has refused the order, and so still obeys the old lead.
t.test("a rank that refuses the order of a new lead is given another one", async (t) => {
  const group = createHeldGroup();
  Object.assign(group.ranks[1] ?? {}, { preparedVersion: null });
  let refusals = 0;
  const lead = new GroupActivation({
    inspect: (rank) => Promise.resolve(group.inspect(rank)),
    order: (order, { number }) => {
      const isRefused = order.rank === 2 && order.kind === HoldOrderKind.Disarm && refusals === 0;
      refusals += isRefused ? 1 : 0;
      return Promise.resolve(isRefused ? false : group.order(order, number));
    },
    nowMs: () => group.nowMs,
    fences: new FenceNumbers(newFence),
    reservedVersion,
  });
  await lead.advance(group.ranks.map((state) => ({ ...state })));
  t.equal(refusals, 1);
  arm(group, [2]);
  group.advance(130);
  await lookOn(t, lead, group);
});

// Guards against a pass with two contents of one version: the version is all that a new lead knows of a prepared map.
t.test("a new lead does not arm a map that it has not planned", async (t) => {
  const group = createHeldGroup();
  group.ranks.forEach(({ hostings }, rank) => {
    hostings.set(version, createTurnHosting(1, 4, rank === 1 ? 2 : ranks));
  });
  await lookOn(
    t,
    createNewLead(group, () => false),
    group,
  );
  t.ok(group.ranks.every(({ mapVersion }) => mapVersion === 0));
});
