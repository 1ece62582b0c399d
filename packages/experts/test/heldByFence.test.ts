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
const step = 3;
const version = 1;
const reservedVersion = 1_000_000;
const hosting = createRoundRobinHosting(1, 4, ranks);
/** Time of an order that gets no response on either path. */
const unansweredMs = 150;
/** Streams of a paused group fail after about this time. */
const maxPauseMs = 8000;

/** Group that rank 0 pauses before pass 3. */
function createPausedGroup(): StandInGroup {
  const group = new StandInGroup({ ranks, random: createRandom(1), lateShare: 0 });
  Object.assign(group.ranks[0] ?? {}, { heldStep: step });
  group.advance(130);
  return group;
}

function prepare(group: StandInGroup): void {
  for (const state of group.ranks) {
    Object.assign(state, { preparedVersion: version, highestVersion: version });
  }
}

/** Leader of term 2. Orders for which `isLost` is true get no response and are kept in `lost`. */
function createLeader(
  group: StandInGroup,
  isLost: (order: HoldOrder) => boolean,
): { readonly leader: GroupActivation; readonly lost: SentOrder[] } {
  const lost: SentOrder[] = [];
  const leader = new GroupActivation({
    inspect: (rank) => Promise.resolve(group.inspect(rank)),
    order: async (order, { value: number }) => {
      const hasResponse = !isLost(order);
      const isAccepted = hasResponse ? group.order(order, number) : null;
      await Promise.resolve();
      if (!hasResponse) {
        lost.push({ order, token: number });
        group.advance(unansweredMs);
      }
      return isAccepted;
    },
    tokens: FencingTokens.ofTerm(2),
    nowMs: () => group.nowMs,
    reservedVersion,
  });
  return { leader, lost };
}

async function poll(leader: GroupActivation, group: StandInGroup): Promise<void> {
  await leader.advance(group.ranks.map((state) => ({ ...state })));
}

// Guards against a go without a response that is carried out while the other ranks are being armed. This
// happened when the rank that pauses the group counted as settled once it was sent an order to arm, even if
// it did not accept it.
t.test("no rank is armed before the pausing rank rejects a go without a response", async (t) => {
  const group = createPausedGroup();
  let isUnresponsive = false;
  const { leader, lost } = createLeader(group, ({ rank, kind }) => {
    isUnresponsive ||= kind === HoldOrderKind.Go;
    return isUnresponsive && rank === 0;
  });
  leader.setDesiredMap({ version, epoch: 1, hosting });
  // The copies are not complete yet, so the pause is ended. From the go on, rank 0 responds to no order.
  await poll(leader, group);
  const go = lost.find(({ order }) => order.kind === HoldOrderKind.Go);
  t.ok(go !== undefined);
  prepare(group);
  await poll(leader, group);
  if (go !== undefined) {
    group.order(go.order, go.token);
  }
  group.advance(200);
  t.equal(group.mixedPasses, 0);
});

// Guards against a group that stays paused forever because one rank, which neither pauses it nor is armed,
// accepts no orders.
t.test("a rank that takes no orders does not keep its group held", async (t) => {
  const group = createPausedGroup();
  prepare(group);
  let isUnresponsive = false;
  const { leader } = createLeader(group, ({ rank, kind }) => {
    isUnresponsive ||= kind === HoldOrderKind.Arm;
    return isUnresponsive && rank === 2;
  });
  leader.setDesiredMap({ version, epoch: 1, hosting });
  const startMs = group.nowMs;
  while (group.nowMs - startMs < maxPauseMs) {
    await poll(leader, group);
    group.advance(30);
    if (group.nowMs - startMs > 2000) {
      leader.clearDesiredMap();
    }
  }
  t.ok((group.ranks[0]?.step ?? 0) >= step, "the group goes on");
});

// Guards against a group that stays paused forever after a failed handover, when no rank is armed and the
// rank that pauses the group responds, but another rank accepts no orders.
t.test("a hold that was handed over is ended although a rank takes no orders", async (t) => {
  const group = new StandInGroup({ ranks, random: createRandom(1), lateShare: 0 });
  const { leader } = createLeader(group, ({ rank, kind }) => rank === 2 && kind !== HoldOrderKind.Prepare);
  leader.setDesiredMap({ version, epoch: 1, hosting });
  await poll(leader, group);
  t.ok(group.ranks.every(({ preparing }) => preparing !== null));
  // The process that took over has paused the group and then failed; a rank has lost its prepared map.
  Object.assign(group.ranks[0] ?? {}, { heldStep: step });
  group.advance(500);
  Object.assign(group.ranks[2] ?? {}, { preparedVersion: null });
  leader.recordUnknownOrders(group.ranks);
  const startMs = group.nowMs;
  while (group.nowMs - startMs < maxPauseMs) {
    await poll(leader, group);
    group.advance(30);
  }
  t.ok((group.ranks[0]?.step ?? 0) >= step, "the group goes on");
});

// Guards against a group that stays paused while one rank responds after the timeout of an order, but in time
// for an inspection: it is armed like the others, and a duplicate of that order has no effect.
t.test("a group whose ranks are all armed resumes although one responds late", async (t) => {
  const group = createPausedGroup();
  prepare(group);
  const leader = new GroupActivation({
    inspect: (rank) => Promise.resolve(group.inspect(rank)),
    order: async (order, { value: number }) => {
      const isAccepted = group.order(order, number);
      await Promise.resolve();
      if (order.rank !== 2) {
        return isAccepted;
      }
      group.advance(unansweredMs);
      return null;
    },
    tokens: FencingTokens.ofTerm(2),
    nowMs: () => group.nowMs,
    reservedVersion,
  });
  leader.setDesiredMap({ version, epoch: 1, hosting });
  const startMs = group.nowMs;
  while (group.nowMs - startMs < maxPauseMs) {
    await poll(leader, group);
    group.advance(30);
  }
  t.ok(group.ranks.every(({ mapVersion }) => mapVersion === version));
  t.equal(group.mixedPasses, 0);
});
