import t from "tap";
import type { Test } from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import { GroupActivation } from "@clementinemux/experts/hold/GroupActivation";
import type { RankHoldState } from "@clementinemux/experts/hold/RankHoldState";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { createRoundRobinHosting } from "@clementinemux/experts/hold/createRoundRobinHosting";
import { StandInGroup } from "./StandInGroup";

const ranks = 4;
const step = 3;
const version = 1;
const epoch = 1;
/** Version that no map has. A rank rejects an order to disarm the active version, which is 0 here. */
const reservedVersion = 9;
/** Fencing tokens of the leader that has started an activation, and of the leader that replaces it. */
const oldToken = 2;
const newToken = 3;
/** Timeout of an order. */
const orderTimeoutMs = 70;

/** Group that has prepared a map and is paused before pass 3 by its old leader. */
function createPausedGroup(): StandInGroup {
  const group = new StandInGroup({ ranks, random: createRandom(1), lateShare: 0 });
  for (const state of group.ranks) {
    Object.assign(state, { preparedVersion: version, highestVersion: version });
  }
  group.advance(130);
  group.order({ kind: HoldOrderKind.Hold, rank: 0, epoch, step }, oldToken);
  return group;
}

function arm(group: StandInGroup, armedRanks: readonly number[]): void {
  for (const rank of armedRanks) {
    group.order({ kind: HoldOrderKind.Arm, rank, epoch, version, step }, oldToken);
  }
}

function resume(group: StandInGroup): void {
  group.order({ kind: HoldOrderKind.Go, rank: 0, epoch, step }, oldToken);
}

/** States of all ranks; that of rank 1 was read before its copies were complete. */
function readStates(group: StandInGroup): RankHoldState[] {
  return group.ranks.map((state) =>
    state.rank === 1 ? { ...state, preparedVersion: null, armed: null } : { ...state },
  );
}

/**
 * Leader that replaces the old one. Lost orders get no response; `onLost` is called while the leader waits
 * for it.
 */
function createNewLeader(
  group: StandInGroup,
  isLost: (order: HoldOrder) => boolean,
  onLost: () => void = () => undefined,
): GroupActivation {
  return new GroupActivation({
    inspect: (rank) => Promise.resolve(group.inspect(rank)),
    order: async (order, { value: number }) => {
      const dueMs = group.nowMs + orderTimeoutMs;
      const isAccepted = isLost(order) ? null : group.order(order, number);
      // Meanwhile, the other orders of the same round are sent.
      await Promise.resolve();
      if (isAccepted === null) {
        onLost();
        group.advance(Math.max(0, dueMs - group.nowMs));
      }
      return isAccepted;
    },
    nowMs: () => group.nowMs,
    tokens: new FencingTokens(newToken),
    reservedVersion,
  });
}

/** Loses the first orders to disarm ranks 0 and 3. */
function createDisarmLoss(): (order: HoldOrder) => boolean {
  const lostRanks = new Set([0, 3]);
  return ({ kind, rank }) => kind === HoldOrderKind.Disarm && lostRanks.delete(rank);
}

/** Runs a leader for as long as a group may be paused, and checks that the group has resumed by then. */
async function runLeader(t: Test, leader: GroupActivation, group: StandInGroup): Promise<void> {
  for (let round = 0; round < 10; round += 1) {
    await leader.advance(group.ranks.map((state) => ({ ...state })));
    group.advance(30);
  }
  t.equal(group.mixedPasses, 0);
  t.ok((group.ranks[0]?.step ?? 0) >= step, "the group resumes");
}

// Guards against a leader that disarms some ranks of a group that the old leader has resumed meanwhile.
t.test("a new leader does not disarm a running group", async (t) => {
  const group = createPausedGroup();
  arm(group, [0, 1, 2, 3]);
  const states = readStates(group);
  resume(group);
  const leader = createNewLeader(group, createDisarmLoss());
  await leader.advance(states);
  await runLeader(t, leader, group);
});

// Guards against a late go of an old leader at a rank that has not received an order of the new leader yet.
t.test("an old leader does not resume a group that a new one disarms", async (t) => {
  const group = createPausedGroup();
  arm(group, [0, 1, 2, 3]);
  const leader = createNewLeader(group, createDisarmLoss(), () => {
    resume(group);
  });
  await leader.advance(readStates(group));
  await runLeader(t, leader, group);
});

// Guards against a go based on states that an order to arm of the old leader has made stale.
t.test("a new leader does not resume a group while the old one arms it", async (t) => {
  const group = createPausedGroup();
  const states = readStates(group);
  arm(group, [0]);
  const leader = createNewLeader(group, () => false);
  await leader.advance(states);
  group.advance(130);
  await runLeader(t, leader, group);
});

// Guards against an old order to arm that a rank carries out after the last inspection by the new leader.
t.test("a rank resumed by a new leader rejects orders of the old one", async (t) => {
  const group = createPausedGroup();
  const leader = createNewLeader(group, () => false);
  await leader.advance(readStates(group));
  arm(group, [2]);
  group.advance(130);
  await runLeader(t, leader, group);
});

// Guards against a rank that counts as fenced although it has rejected the order and still accepts the old
// leader's.
t.test("a rank that rejects the order of a new leader is sent another one", async (t) => {
  const group = createPausedGroup();
  Object.assign(group.ranks[1] ?? {}, { preparedVersion: null });
  let rejections = 0;
  const leader = new GroupActivation({
    inspect: (rank) => Promise.resolve(group.inspect(rank)),
    order: (order, { value: number }) => {
      const isRejected = order.rank === 2 && order.kind === HoldOrderKind.Disarm && rejections === 0;
      rejections += isRejected ? 1 : 0;
      return Promise.resolve(isRejected ? false : group.order(order, number));
    },
    nowMs: () => group.nowMs,
    tokens: new FencingTokens(newToken),
    reservedVersion,
  });
  await leader.advance(group.ranks.map((state) => ({ ...state })));
  t.equal(rejections, 1);
  arm(group, [2]);
  group.advance(130);
  await runLeader(t, leader, group);
});

// Guards against different maps with one version in a pass: a new leader only knows the version of a prepared
// map.
t.test("a new leader does not arm a map that it has not planned", async (t) => {
  const group = createPausedGroup();
  group.ranks.forEach(({ hostings }, rank) => {
    hostings.set(version, createRoundRobinHosting(1, 4, rank === 1 ? 2 : ranks));
  });
  await runLeader(
    t,
    createNewLeader(group, () => false),
    group,
  );
  t.ok(group.ranks.every(({ mapVersion }) => mapVersion === 0));
});
