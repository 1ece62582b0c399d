import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import { GroupActivation } from "@clementinemux/experts/hold/GroupActivation";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { StandInGroup } from "./StandInGroup";

/** Version that no map has. A rank rejects an order to disarm the active version. */
const reservedVersion = 1_000_000;

// Guards against an order to disarm that gets no response and is carried out seconds later, after the same
// version was armed again: the order does not distinguish the two activations of that version.
t.test("a late order to disarm does not affect a later activation of the same version", async (t) => {
  const group = new StandInGroup({ ranks: 4, random: createRandom(1), lateShare: 0, passMs: 60 });
  group.isIdle = true;
  // Two earlier leaders have armed one rank each while the group was idle, and one of them has paused the
  // group.
  for (const state of group.ranks) {
    Object.assign(state, { step: 1, preparedVersion: 1, highestVersion: 1 });
  }
  Object.assign(group.ranks[0] ?? {}, { heldStep: 3 });
  Object.assign(group.ranks[1] ?? {}, { armed: { version: 1, step: 5 } });
  Object.assign(group.ranks[2] ?? {}, { armed: { version: 1, step: 4 } });
  const late: { readonly order: HoldOrder; readonly token: number }[] = [];
  const leader = new GroupActivation({
    inspect: (rank) => Promise.resolve(group.inspect(rank)),
    order: (order, { value: number }) => {
      const isDisarm = order.kind === HoldOrderKind.Disarm && order.version === 1;
      if (isDisarm && order.rank === 2 && late.length === 0) {
        late.push({ order, token: number });
        return Promise.resolve(null);
      }
      return Promise.resolve(group.order(order, number));
    },
    tokens: FencingTokens.ofTerm(1),
    nowMs: () => group.nowMs,
    reservedVersion,
  });
  leader.setDesiredMap({ version: 1, epoch: 1, hosting: [] });
  const poll = (): Promise<boolean> => leader.advance(group.ranks.map((rank) => ({ ...rank })));
  // The first call rolls back what cannot be completed; the second one arms the leader's desired map.
  await poll();
  await poll();
  t.equal(late.length, 1);
  t.ok(group.ranks.every(({ armed, heldStep }) => armed?.step === 4 && heldStep === null));
  group.isIdle = false;
  for (let tick = 0; tick < 100 && (group.ranks[0]?.step ?? 0) < 3; tick += 1) {
    group.advance(5);
  }
  await poll();
  for (const { order, token } of late) {
    t.equal(group.order(order, token), false);
  }
  group.advance(100);
  t.equal(group.ranks[0]?.step, 4);
  t.equal(group.mixedPasses, 0);
});
