import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import { GroupActivation } from "@clementinemux/experts/hold/GroupActivation";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { createRoundRobinHosting } from "@clementinemux/experts/hold/createRoundRobinHosting";
import { StandInGroup } from "./StandInGroup";

interface SentOrder {
  readonly order: HoldOrder;
  readonly token: number;
}

const ranks = 4;
const hosting = createRoundRobinHosting(1, 4, ranks);
const reservedVersion = 1_000_000;

function createIdleGroup(): StandInGroup {
  const group = new StandInGroup({ ranks, random: createRandom(1), lateShare: 0 });
  group.isIdle = true;
  return group;
}

/** Makes version 1 prepared on all ranks. */
function prepare(group: StandInGroup): void {
  for (const state of group.ranks) {
    Object.assign(state, { preparedVersion: 1, highestVersion: 1 });
  }
}

/**
 * Leader whose first order for which `isLost` is true gets no response; it is kept in `late`, to be carried
 * out later.
 */
function createLeader(
  group: StandInGroup,
  isLost: (order: HoldOrder) => boolean,
  onOrder: (order: HoldOrder) => void = () => undefined,
): { readonly leader: GroupActivation; readonly late: SentOrder[] } {
  const late: SentOrder[] = [];
  const leader = new GroupActivation({
    inspect: (rank) => Promise.resolve(group.inspect(rank)),
    order: (order, { value: number }) => {
      onOrder(order);
      if (late.length === 0 && isLost(order)) {
        late.push({ order, token: number });
        return Promise.resolve(null);
      }
      return Promise.resolve(group.order(order, number));
    },
    tokens: FencingTokens.ofTerm(2),
    nowMs: () => group.nowMs,
    reservedVersion,
  });
  return { leader, late };
}

function deliverLate(group: StandInGroup, late: readonly SentOrder[]): void {
  for (const { order, token } of late) {
    group.order(order, token);
  }
}

async function poll(leader: GroupActivation, group: StandInGroup): Promise<void> {
  await leader.advance(group.ranks.map((state) => ({ ...state })));
}

// Guards against a single armed rank in a resumed group: an idle group starts no pass, so a late order to arm
// is still possible.
t.test("an order to arm without a response is void when the group resumes", async (t) => {
  const group = createIdleGroup();
  prepare(group);
  const { leader, late } = createLeader(group, ({ kind, rank }) => {
    const isArm = kind === HoldOrderKind.Arm && rank === 2;
    if (isArm) {
      // The activation can no longer be completed, so the leader rolls it back.
      Object.assign(group.ranks[1] ?? {}, { preparedVersion: null, armed: null });
    }
    return isArm;
  });
  leader.setDesiredMap({ version: 1, epoch: 1, hosting });
  await poll(leader, group);
  t.equal(late.length, 1);
  t.ok(
    group.ranks.every(({ armed, heldStep }) => armed === null && heldStep === null),
    "the leader has resumed the group",
  );
  deliverLate(group, late);
  group.isIdle = false;
  group.advance(300);
  t.equal(group.mixedPasses, 0);
});

// Guards against a group that resumes while only some ranks are armed, due to a late go for a pass that is
// paused again.
t.test("an order to go without a response does not end a later pause before the same pass", async (t) => {
  const group = createIdleGroup();
  let isSecond = false;
  let arms = 0;
  const { leader, late } = createLeader(
    group,
    ({ kind }) => kind === HoldOrderKind.Go,
    ({ kind }) => {
      arms += kind === HoldOrderKind.Arm ? 1 : 0;
      if (isSecond && kind === HoldOrderKind.Arm && arms === 3) {
        deliverLate(group, late);
        group.isIdle = false;
        group.advance(200);
      }
    },
  );
  Object.assign(group.ranks[0] ?? {}, { heldStep: 2 });
  // There is no map to arm in the first pause, so it is ended.
  await poll(leader, group);
  await poll(leader, group);
  t.equal(late.length, 1);
  t.equal(group.ranks[0]?.heldStep, null);
  isSecond = true;
  prepare(group);
  leader.setDesiredMap({ version: 1, epoch: 1, hosting });
  for (let round = 0; round < 10; round += 1) {
    await poll(leader, group);
    group.advance(30);
  }
  t.ok(arms >= 3);
  t.equal(group.mixedPasses, 0);
  t.ok(group.ranks.every(({ mapVersion }) => mapVersion === 1));
});

// Guards against orders of a process to which an activation was handed over, after the leader has taken it
// back.
t.test("orders of a process that lost an activation are rejected", async (t) => {
  const group = createIdleGroup();
  prepare(group);
  const tokens = FencingTokens.ofTerm(2);
  const reserved = tokens.reserve();
  const arm: HoldOrder = { kind: HoldOrderKind.Arm, rank: 1, epoch: 1, version: 1, step: 2 };
  const leader = new GroupActivation({
    inspect: (rank) => Promise.resolve(group.inspect(rank)),
    order: (order, { value: number }) => Promise.resolve(group.order(order, number)),
    tokens,
    nowMs: () => group.nowMs,
    reservedVersion,
  });
  group.order({ kind: HoldOrderKind.Hold, rank: 0, epoch: 1, step: 2 }, reserved);
  leader.recordUnknownOrders(group.ranks);
  await poll(leader, group);
  t.equal(group.ranks[0]?.heldStep, null);
  t.equal(group.order(arm, reserved), false);
  group.isIdle = false;
  group.advance(300);
  t.equal(group.mixedPasses, 0);
});

// Guards against a group that stays paused forever because one rank accepts no orders. Orders are at most 12
// s late.
t.test(
  "the state of a rank that accepts no orders is relied on after its late orders have expired",
  async (t) => {
    const group = createIdleGroup();
    const { leader, late } = createLeader(group, () => false);
    leader.setDesiredMap({ version: 1, epoch: 1, hosting });
    await poll(leader, group);
    group.advance(250);
    const leaderWithLostOrders = new GroupActivation({
      inspect: (rank) => Promise.resolve(group.inspect(rank)),
      order: (order, { value: number }) =>
        Promise.resolve(order.rank === 2 ? null : group.order(order, number)),
      tokens: FencingTokens.ofTerm(3),
      nowMs: () => group.nowMs,
      reservedVersion,
    });
    t.equal(late.length, 0);
    group.isIdle = false;
    Object.assign(group.ranks[0] ?? {}, { heldStep: (group.ranks[0]?.step ?? 0) + 2 });
    leaderWithLostOrders.setDesiredMap({ version: 1, epoch: 1, hosting });
    leaderWithLostOrders.recordUnknownOrders(group.ranks);
    Object.assign(group.ranks[1] ?? {}, { preparedVersion: null });
    const pausedSinceMs = group.nowMs;
    while (group.ranks[0]?.heldStep !== null && group.nowMs - pausedSinceMs < 60_000) {
      await poll(leaderWithLostOrders, group);
      group.advance(30);
    }
    t.ok(group.nowMs - pausedSinceMs < 15_000, `held for ${group.nowMs - pausedSinceMs} ms`);
    t.ok(group.nowMs - pausedSinceMs > 12_000);
  },
);

t.test(
  "tokens of a later term are higher, and reserved tokens are lower than the leader's next ones",
  (t) => {
    const [older, newer] = [FencingTokens.ofTerm(2), FencingTokens.ofTerm(3)];
    const raised = older.allocateAfter(older.allocateAfter(older.floor));
    const reserved = older.reserve();
    t.ok(reserved > raised);
    t.ok(older.floor > reserved);
    const raisedAgain = older.allocateAfter(older.floor);
    t.ok(older.reserve() > raisedAgain, "also tokens reserved after a raise");
    t.ok(newer.floor > older.floor);
    t.equal(FencingTokens.getTerm(reserved), 2);
    t.end();
  },
);
