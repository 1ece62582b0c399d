import t from "tap";
import { createRandom } from "@clementinemux/common/createRandom";
import { SilentRankDetector } from "@clementinemux/control/ranks/SilentRankDetector";
import { StandInGroup } from "@clementinemux/experts/test/StandInGroup";
import { createLogger } from "@clementinemux/logging/createLogger";
import { StandInRankChannel } from "./StandInRankChannel";

function createDetector() {
  const state = { nowMs: 0, slowdowns: [] as number[] };
  const detector = new SilentRankDetector({
    recordSlowdown: (_, slowdown) => state.slowdowns.push(slowdown),
    clock: { monotonicMs: () => state.nowMs, wallMs: () => state.nowMs },
    logger: createLogger("test", {}),
  });
  const group = new StandInGroup({ ranks: 1, random: createRandom(1), lateShare: 0 });
  return { state, detector, channel: new StandInRankChannel(group, 0) };
}

// Guards against requests that are sent to a stalled instance, and reach its rank after their callers have
// disconnected.
t.test("an unreachable rank is the last choice until it responds", async (t) => {
  const { state, detector, channel } = createDetector();
  channel.inspectDirectly = () => Promise.resolve(null);
  await detector.recordMissedResponse("t-1", channel);
  t.ok((state.slowdowns.at(-1) ?? 0) > 1);
  state.nowMs = 130;
  await detector.recordMissedResponse("t-1", channel);
  t.equal(state.slowdowns.length, 2, "renewed, since slowdowns expire");
  detector.recordResponse("t-1");
  state.nowMs = 260;
  channel.inspectDirectly = StandInRankChannel.prototype.inspectDirectly.bind(channel);
  await detector.recordMissedResponse("t-1", channel);
  t.equal(state.slowdowns.length, 2, "a later silence is checked again");
  t.end();
});

// Guards against healthy ranks that get no requests because their ranker was killed.
t.test("a rank whose ranker alone is silent keeps its requests", async (t) => {
  const { state, detector, channel } = createDetector();
  for (state.nowMs = 0; state.nowMs < 3000; state.nowMs += 120) {
    await detector.recordMissedResponse("t-1", channel);
  }
  t.same(state.slowdowns, []);
  t.ok(channel.directInspections <= 3, "direct inspections are few");
  t.end();
});

t.test("a rank that responds to direct inspections again is no longer silent", async (t) => {
  const { state, detector, channel } = createDetector();
  channel.inspectDirectly = () => Promise.resolve(null);
  await detector.recordMissedResponse("t-1", channel);
  channel.inspectDirectly = StandInRankChannel.prototype.inspectDirectly.bind(channel);
  state.nowMs = 1100;
  await detector.recordMissedResponse("t-1", channel);
  t.equal(state.slowdowns.at(-1), 1);
  t.end();
});
