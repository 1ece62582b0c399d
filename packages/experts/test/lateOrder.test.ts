import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { FenceNumbers } from "@clementinemux/experts/hold/FenceNumbers";
import { GroupActivation } from "@clementinemux/experts/hold/GroupActivation";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { HeldGroup } from "./HeldGroup";

/** Version that no map has. A rank rejects an order to disarm the active version. */
const reservedVersion = 1_000_000;

// Guards against an order to disarm that gets no response and is carried out seconds later, after the same
// version was armed again: the order does not distinguish the two activations of that version.
t.test("a late order to disarm does not affect a later activation of the same version", async (t) => {
  const group = new HeldGroup({ ranks: 4, random: createRandom(1), lateShare: 0, passMs: 60 });
  group.isIdle = true;
  // Two earlier leaders have armed one rank each while the group was idle, and one of them has paused the
  // group.
  for (const state of group.ranks) {
    Object.assign(state, { step: 1, preparedVersion: 1, highestVersion: 1 });
  }
  Object.assign(group.ranks[0] ?? {}, { heldStep: 3 });
  Object.assign(group.ranks[1] ?? {}, { armed: { version: 1, step: 5 } });
  Object.assign(group.ranks[2] ?? {}, { armed: { version: 1, step: 4 } });
  const late: { readonly order: HoldOrder; readonly fence: number }[] = [];
  const lead = new GroupActivation({
    inspect: (rank) => Promise.resolve(group.inspect(rank)),
    order: (order, { number }) => {
      const isDisarm = order.kind === HoldOrderKind.Disarm && order.version === 1;
      if (isDisarm && order.rank === 2 && late.length === 0) {
        late.push({ order, fence: number });
        return Promise.resolve(null);
      }
      return Promise.resolve(group.order(order, number));
    },
    fences: FenceNumbers.ofTerm(1),
    nowMs: () => group.nowMs,
    reservedVersion,
  });
  lead.aim({ version: 1, epoch: 1, hosting: [] });
  const look = (): Promise<boolean> => lead.advance(group.ranks.map((rank) => ({ ...rank })));
  // The first call rolls back what cannot be completed; the second one arms the leader's desired map.
  await look();
  await look();
  t.equal(late.length, 1);
  t.ok(group.ranks.every(({ armed, heldStep }) => armed?.step === 4 && heldStep === null));
  group.isIdle = false;
  for (let turn = 0; turn < 100 && (group.ranks[0]?.step ?? 0) < 3; turn += 1) {
    group.advance(5);
  }
  await look();
  for (const { order, fence } of late) {
    t.equal(group.order(order, fence), false);
  }
  group.advance(100);
  t.equal(group.ranks[0]?.step, 4);
  t.equal(group.mixedPasses, 0);
});
