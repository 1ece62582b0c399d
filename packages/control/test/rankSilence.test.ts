import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { RankSilence } from "@clementinemux/control/ranks/RankSilence";
import { HeldGroup } from "@clementinemux/experts/test/HeldGroup";
import { createLogger } from "@clementinemux/logging/createLogger";
import { HeldRankWay } from "./HeldRankWay";

function createSilence() {
  const state = { nowMs: 0, paces: [] as number[] };
  const silence = new RankSilence({
    notePace: (_, pace) => state.paces.push(pace),
    clock: { monotonicMs: () => state.nowMs, wallMs: () => state.nowMs },
    logger: createLogger("test", {}),
  });
  const group = new HeldGroup({ ranks: 1, random: createRandom(1), lateShare: 0 });
  return { state, silence, way: new HeldRankWay(group, 0) };
}

// Guards against requests that are sent to a stalled instance, and reach its rank after their callers have
// disconnected.
t.test("an unreachable rank is the last choice until it responds", async (t) => {
  const { state, silence, way } = createSilence();
  way.inspectDirectly = () => Promise.resolve(null);
  await silence.noteMissed("t-1", way);
  t.ok((state.paces.at(-1) ?? 0) > 1);
  state.nowMs = 130;
  await silence.noteMissed("t-1", way);
  t.equal(state.paces.length, 2, "renewed, since slowdowns expire");
  silence.noteAnswer("t-1");
  state.nowMs = 260;
  way.inspectDirectly = HeldRankWay.prototype.inspectDirectly.bind(way);
  await silence.noteMissed("t-1", way);
  t.equal(state.paces.length, 2, "a later silence is checked again");
  t.end();
});

// Guards against healthy ranks that get no requests because their ranker was killed.
t.test("a rank whose ranker alone is silent keeps its requests", async (t) => {
  const { state, silence, way } = createSilence();
  for (state.nowMs = 0; state.nowMs < 3000; state.nowMs += 120) {
    await silence.noteMissed("t-1", way);
  }
  t.same(state.paces, []);
  t.ok(way.directInspections <= 3, "direct inspections are few");
  t.end();
});

t.test("a rank that responds to direct inspections again is no longer silent", async (t) => {
  const { state, silence, way } = createSilence();
  way.inspectDirectly = () => Promise.resolve(null);
  await silence.noteMissed("t-1", way);
  way.inspectDirectly = HeldRankWay.prototype.inspectDirectly.bind(way);
  state.nowMs = 1100;
  await silence.noteMissed("t-1", way);
  t.equal(state.paces.at(-1), 1);
  t.end();
});
