import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { FencingTokens } from "@clementinemux/experts/hold/FencingTokens";
import { GroupActivation } from "@clementinemux/experts/hold/GroupActivation";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { StandInGroup } from "./StandInGroup";

const ranks = 4;
const step = 3;
const version = 1;
const epoch = 1;
/** Rank that responds to reads, but for some time to no orders. */
const unresponsiveRank = 2;
const unresponsiveMs = 5000;
/** Time at which an order of the old leader is carried out; late orders are 2 to 12 s late. */
const lateArmMs = 4000;
/** Timeout of an order on both paths. */
const orderTimeoutMs = 150;
const pollMs = 30;
const reservedVersion = 9;

/** A group that was paused by a failed leader, and the leader that takes over. */
class TakeoverScenario {
  readonly group = new StandInGroup({ ranks, random: createRandom(1), lateShare: 0 });
  /** Number of orders to the unresponsive rank that got no response. */
  missedOrders = 0;
  /** Time at which the leader resumed the group; null before that. */
  resumedAtMs: number | null = null;
  readonly #leader = this.#createLeader();

  constructor(isIdle: boolean) {
    const { group } = this;
    for (const state of group.ranks) {
      Object.assign(state, { preparedVersion: version, highestVersion: version });
    }
    group.advance(130);
    group.isIdle = isIdle;
    group.order({ kind: HoldOrderKind.Hold, rank: 0, epoch, step }, FencingTokens.ofTerm(2).floor);
  }

  get isPaused(): boolean {
    return this.group.ranks.some(({ heldStep }) => heldStep !== null);
  }

  /** Runs the leader; `onLate` is called when the old leader's last order is due. */
  async run(durationMs: number, onLate: () => void = () => undefined): Promise<void> {
    const { group } = this;
    let isLate = false;
    while (group.nowMs < durationMs) {
      await this.#leader.advance(group.ranks.map((state) => ({ ...state })));
      group.advance(pollMs);
      if (!isLate && group.nowMs >= lateArmMs) {
        isLate = true;
        onLate();
      }
    }
  }

  /** Carries out an earlier order of the old leader to arm the unresponsive rank. */
  armLate(): boolean | null {
    const arm: HoldOrder = { kind: HoldOrderKind.Arm, rank: unresponsiveRank, epoch, version, step };
    return this.group.order(arm, FencingTokens.ofTerm(2).floor);
  }

  #createLeader(): GroupActivation {
    const { group } = this;
    return new GroupActivation({
      inspect: (rank) => Promise.resolve(group.inspect(rank)),
      order: (order, { value: number }) => {
        if (order.rank === unresponsiveRank && group.nowMs < unresponsiveMs) {
          this.missedOrders += 1;
          group.advance(orderTimeoutMs);
          return Promise.resolve(null);
        }
        const isAccepted = group.order(order, number);
        if (order.kind === HoldOrderKind.Go && isAccepted === true) {
          this.resumedAtMs ??= group.nowMs;
        }
        return Promise.resolve(isAccepted);
      },
      tokens: FencingTokens.ofTerm(3),
      nowMs: () => group.nowMs,
      reservedVersion,
    });
  }
}

// Shows how long a rank that accepts no orders keeps its group paused, and guards against a longer pause.
t.test("a group is paused until the rank that accepts no orders has accepted one", async (t) => {
  const takeover = new TakeoverScenario(false);
  await takeover.run(unresponsiveMs + 1000);
  const { resumedAtMs } = takeover;
  t.ok(resumedAtMs !== null && resumedAtMs >= unresponsiveMs, `held until ${resumedAtMs} ms`);
  t.ok(
    resumedAtMs !== null && resumedAtMs <= unresponsiveMs + orderTimeoutMs + pollMs,
    `held until ${resumedAtMs} ms`,
  );
  t.ok(
    takeover.missedOrders <= unresponsiveMs / orderTimeoutMs + 1,
    `${takeover.missedOrders} orders without a response`,
  );
  t.ok((takeover.group.ranks[0]?.step ?? 0) > step, "the group resumes");
  t.equal(takeover.group.mixedPasses, 0);
});

// Guards against ending the pause based on reads: the old leader's order can arm the rank after any read.
t.test("a late order to arm a rank that accepts no others does not mix maps", async (t) => {
  for (const isIdle of [false, true]) {
    const takeover = new TakeoverScenario(isIdle);
    await takeover.run(unresponsiveMs - 500, () => {
      t.equal(takeover.armLate(), true, "the rank has accepted no order of the new leader");
      takeover.group.isIdle = false;
    });
    t.ok(takeover.isPaused);
    await takeover.run(unresponsiveMs + 1000);
    t.notOk(takeover.isPaused);
    t.ok((takeover.group.ranks[0]?.step ?? 0) > step, "the group resumes");
    t.equal(takeover.group.mixedPasses, 0);
  }
});

// Guards against a leader that still waits for a rank to accept an order after the group has recovered with a
// new epoch.
t.test("a group recovery ends the pause", async (t) => {
  const takeover = new TakeoverScenario(false);
  await takeover.run(1000);
  t.ok(takeover.isPaused);
  takeover.group.recover();
  const { missedOrders } = takeover;
  await takeover.run(2000);
  t.notOk(takeover.isPaused);
  t.equal(takeover.missedOrders, missedOrders);
  t.ok((takeover.group.ranks[0]?.step ?? 0) > step);
});
