import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { FenceNumbers } from "@clementinemux/experts/hold/FenceNumbers";
import { GroupActivation } from "@clementinemux/experts/hold/GroupActivation";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { HeldGroup } from "./HeldGroup";

const ranks = 4;
const step = 3;
const version = 1;
const epoch = 1;
/** Rank that answers reads, but for a time no orders. */
const muteRank = 2;
const muteMs = 5000;
/** When an order of the old lead is carried out; late ones come 2 to 12 s late. */
const lateArmMs = 4000;
/** Time after which an order has had no answer by either way. */
const twoWaysMs = 150;
const lookMs = 30;
const reservedVersion = 9;

/** A group that is held by a lead that is gone, and the lead that takes it over. */
class TakenOverGroup {
  readonly group = new HeldGroup({ ranks, random: createRandom(1), lateShare: 0 });
  /** Orders to the mute rank that had no answer. */
  missedOrders = 0;
  /** When the lead has let the group go; null before that. */
  letGoAtMs: number | null = null;
  readonly #lead = this.#createLead();

  constructor(isIdle: boolean) {
    const { group } = this;
    for (const state of group.ranks) {
      Object.assign(state, { preparedVersion: version, highestVersion: version });
    }
    group.advance(130);
    group.isIdle = isIdle;
    group.order({ kind: HoldOrderKind.Hold, rank: 0, epoch, step }, FenceNumbers.ofTerm(2).floor);
  }

  get isHeld(): boolean {
    return this.group.ranks.some(({ heldStep }) => heldStep !== null);
  }

  /** Has the lead look on; `onLate` is called when the old lead's last order is carried out. */
  async run(durationMs: number, onLate: () => void = () => undefined): Promise<void> {
    const { group } = this;
    let isLate = false;
    while (group.nowMs < durationMs) {
      await this.#lead.advance(group.ranks.map((state) => ({ ...state })));
      group.advance(lookMs);
      if (!isLate && group.nowMs >= lateArmMs) {
        isLate = true;
        onLate();
      }
    }
  }

  /** Order of the old lead to arm the mute rank, which had no answer then. */
  armLate(): boolean | null {
    const arm: HoldOrder = { kind: HoldOrderKind.Arm, rank: muteRank, epoch, version, step };
    return this.group.order(arm, FenceNumbers.ofTerm(2).floor);
  }

  #createLead(): GroupActivation {
    const { group } = this;
    return new GroupActivation({
      inspect: (rank) => Promise.resolve(group.inspect(rank)),
      order: (order, { number }) => {
        if (order.rank === muteRank && group.nowMs < muteMs) {
          this.missedOrders += 1;
          group.advance(twoWaysMs);
          return Promise.resolve(null);
        }
        const answer = group.order(order, number);
        if (order.kind === HoldOrderKind.Go && answer === true) {
          this.letGoAtMs ??= group.nowMs;
        }
        return Promise.resolve(answer);
      },
      fences: FenceNumbers.ofTerm(3),
      nowMs: () => group.nowMs,
      reservedVersion,
    });
  }
}

// Shows how long a rank without orders holds its group, and guards against a group that is held for longer than that.
t.test("a group is held until the rank that takes no orders has accepted one", async (t) => {
  const world = new TakenOverGroup(false);
  await world.run(muteMs + 1000);
  const { letGoAtMs } = world;
  t.ok(letGoAtMs !== null && letGoAtMs >= muteMs, `held until ${letGoAtMs} ms`);
  t.ok(letGoAtMs !== null && letGoAtMs <= muteMs + twoWaysMs + lookMs, `held until ${letGoAtMs} ms`);
  t.ok(world.missedOrders <= muteMs / twoWaysMs + 1, `${world.missedOrders} orders without an answer`);
  t.ok((world.group.ranks[0]?.step ?? 0) > step, "the group goes on");
  t.equal(world.group.mixedPasses, 0);
});

// Guards against an end of the hold that relies on reads: the old lead's order can arm the rank after any of them.
t.test("a late order to arm a rank that takes no others does not mix maps", async (t) => {
  for (const isIdle of [false, true]) {
    const world = new TakenOverGroup(isIdle);
    await world.run(muteMs - 500, () => {
      t.equal(world.armLate(), true, "the rank has accepted no order of the new lead");
      world.group.isIdle = false;
    });
    t.ok(world.isHeld);
    await world.run(muteMs + 1000);
    t.notOk(world.isHeld);
    t.ok((world.group.ranks[0]?.step ?? 0) > step, "the group goes on");
    t.equal(world.group.mixedPasses, 0);
  }
});

// Guards against a lead that still asks a rank for orders after its group has formed again without any.
t.test("a group that forms again ends the hold", async (t) => {
  const world = new TakenOverGroup(false);
  await world.run(1000);
  t.ok(world.isHeld);
  world.group.form();
  const { missedOrders } = world;
  await world.run(2000);
  t.notOk(world.isHeld);
  t.equal(world.missedOrders, missedOrders);
  t.ok((world.group.ranks[0]?.step ?? 0) > step);
});
