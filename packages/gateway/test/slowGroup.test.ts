import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { chooseByFreeSlots } from "@clementinemux/gateway/chooseByFreeSlots";
import { splitBySlowdown } from "@clementinemux/gateway/splitBySlowdown";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";

const ranksPerGroup = 8;
const slots = 8;
/** Time of a forward pass: a fixed part, a part for each request, and the slowdown of the straggler. */
const fixedMs = 29;
const perRequestMs = 2.7;
const stragglerSlowdown = 4;
/** Delay with which gateways receive slowdowns and each other's load. */
const delayMs = 400;
const stepMs = 10;
const eventsPerStream = 28;
const allowedGapMs = 120;

const targets = Array.from({ length: 2 * ranksPerGroup }, (_, index): TargetRecord => {
  const state = { isDraining: false, isLeaving: false, isGone: false };
  const location = { service: "s", address: `h:${index}`, failureDomain: "a", slots };
  return { id: `t-${index}`, ...location, ...state, bornMs: 1, sequence: 1 };
});

interface SimulatedStream {
  readonly target: number;
  leftPasses: number;
  longestGapMs: number;
}

/**
 * Simulates a load on two groups, the second of which has a straggler. Returns the share of streams with
 * short pauses.
 */
function simulate(streamsPerSecond: number, hasGroupSlowdowns: boolean): number {
  const random = createRandom(11);
  const streams = new Set<SimulatedStream>();
  const history: { loads: number[]; passMs: number[] }[] = [];
  const sinceMs = [0, 0];
  let done = 0;
  let short = 0;
  for (let nowMs = 0; nowMs < 12_000; nowMs += stepMs) {
    const loads = targets.map((_, index) => [...streams].filter(({ target }) => target === index).length);
    const passMs = [0, 1].map((group) => {
      const busiest = Math.max(...loads.slice(group * ranksPerGroup, (group + 1) * ranksPerGroup));
      return (fixedMs + perRequestMs * busiest) * (group === 1 ? stragglerSlowdown : 1);
    });
    history.push({ loads, passMs });
    const delayed = history[Math.max(0, history.length - 1 - delayMs / stepMs)]!;
    const groupSlowdown = delayed.passMs[1]! / delayed.passMs[0]!;
    const straggler = `t-${2 * ranksPerGroup - 1}`;
    const slowdowns = hasGroupSlowdowns
      ? Object.fromEntries(targets.slice(ranksPerGroup).map(({ id }) => [id, groupSlowdown]))
      : { [straggler]: stragglerSlowdown };
    if (random() < (streamsPerSecond * stepMs) / 1000) {
      const { healthy } = splitBySlowdown(targets, slowdowns);
      const candidates = healthy.map(({ id }) => ({
        id,
        slots,
        load: delayed.loads[Number(id.slice(2))]!,
        weight: 1 / (slowdowns[id] ?? 1) ** 3,
        isNear: false,
      }));
      const id = chooseByFreeSlots(candidates, 0, random);
      if (id !== null) {
        streams.add({ target: Number(id.slice(2)), leftPasses: eventsPerStream, longestGapMs: 0 });
      }
    }
    for (const group of [0, 1]) {
      const tookMs = nowMs - sinceMs[group]!;
      if (tookMs >= passMs[group]!) {
        sinceMs[group] = nowMs;
        for (const stream of [...streams].filter(
          (item) => Math.floor(item.target / ranksPerGroup) === group,
        )) {
          stream.longestGapMs = Math.max(stream.longestGapMs, tookMs);
          stream.leftPasses -= 1;
          if (stream.leftPasses === 0) {
            streams.delete(stream);
            done += 1;
            short += stream.longestGapMs <= allowedGapMs ? 1 : 0;
          }
        }
      }
    }
  }
  return short / done;
}

// Guards against half of all streams being late because one rank of one of two groups is slow.
t.test("streams go to the group without a straggler as long as it has slots", (t) => {
  const byStraggler = simulate(20, false);
  const byGroup = simulate(20, true);
  t.ok(byGroup - byStraggler > 0.15, `by the slowdown of the straggler alone ${byStraggler}`);
  t.ok(byGroup > 0.95, `by the slowdown of its group ${byGroup}`);
  t.end();
});

t.test("single slow ranks and unusable groups are distinguished from slow groups", (t) => {
  const one = splitBySlowdown(targets, { "t-3": 4 });
  t.equal(one.healthy.length, 16);
  t.same(one.slow, []);
  const createGroupSlowdowns = (slowdown: number) =>
    Object.fromEntries(targets.slice(ranksPerGroup).map(({ id }) => [id, slowdown]));
  t.equal(splitBySlowdown(targets, createGroupSlowdowns(3)).healthy.length, 8);
  t.equal(splitBySlowdown(targets, createGroupSlowdowns(3)).slow.length, 8);
  t.equal(
    splitBySlowdown(targets, createGroupSlowdowns(8)).slow.length,
    0,
    "guards against requests to a group that is stalled",
  );
  const all = Object.fromEntries(targets.map(({ id }) => [id, 8]));
  t.equal(splitBySlowdown(targets, all).healthy.length, 16, "no better target exists");
  t.end();
});
