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
/** Rank that responds to reads, but for some time to no orders. */
const muteRank = 2;
const muteMs = 5000;
/** Time at which an order of the old leader is carried out; late orders are 2 to 12 s late. */
const lateArmMs = 4000;
/** Timeout of an order on both paths. */
const twoWaysMs = 150;
const lookMs = 30;
const reservedVersion = 9;

/** A group that was paused by a failed leader, and the leader that takes over. */
class TakenOverGroup {
  readonly group = new HeldGroup({ ranks, random: createRandom(1), lateShare: 0 });
  /** Orders to the unresponsive rank. */
  missedOrders = 0;
  /** Time at which the leader resumed the group; null before that. */
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

  /** Runs the leader; `onLate` is called when the old leader's last order is due. */
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

  /** Carries out an earlier order of the old leader to arm the unresponsive rank. */
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

// Shows how long a rank that accepts no orders keeps its group paused, and guards against a longer pause.
t.test("a group is paused until the rank that accepts no orders has accepted one", async (t) => {
  const world = new TakenOverGroup(false);
  await world.run(muteMs + 1000);
  const { letGoAtMs } = world;
  t.ok(letGoAtMs !== null && letGoAtMs >= muteMs, `held until ${letGoAtMs} ms`);
  t.ok(letGoAtMs !== null && letGoAtMs <= muteMs + twoWaysMs + lookMs, `held until ${letGoAtMs} ms`);
  t.ok(world.missedOrders <= muteMs / twoWaysMs + 1, `${world.missedOrders} orders without a response`);
  t.ok((world.group.ranks[0]?.step ?? 0) > step, "the group resumes");
  t.equal(world.group.mixedPasses, 0);
});

// Guards against ending the pause based on reads: the old leader's order can arm the rank after any read.
t.test("a late order to arm a rank that accepts no others does not mix maps", async (t) => {
  for (const isIdle of [false, true]) {
    const world = new TakenOverGroup(isIdle);
    await world.run(muteMs - 500, () => {
      t.equal(world.armLate(), true, "the rank has accepted no order of the new leader");
      world.group.isIdle = false;
    });
    t.ok(world.isHeld);
    await world.run(muteMs + 1000);
    t.notOk(world.isHeld);
    t.ok((world.group.ranks[0]?.step ?? 0) > step, "the group resumes");
    t.equal(world.group.mixedPasses, 0);
  }
});

// Guards against a leader that still waits for a rank to accept an order after the group has recovered with a
// new epoch.
t.test("a group recovery ends the pause", async (t) => {
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
