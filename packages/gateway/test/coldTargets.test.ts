import t from "tap";
import { ColdTargets } from "@clementinemux/gateway/ColdTargets";
import { TargetRamps } from "@clementinemux/gateway/TargetRamps";
import { createTargetRecord } from "../../control/test/createTargetRecord";

const wallMs = 1_000_000;
const bounds = { excess: 1.5, slack: 5 };

function create(gateways = 1) {
  const ramps = new TargetRamps({ getLiveEntries: () => gateways, random: () => 0 });
  const getColdStart = (service: string) => (service === "s" ? { requestsPerS: 14, durationMs: 3000 } : null);
  return { ramps, cold: new ColdTargets({ getColdStart, bounds, ramps }) };
}

// Guards against targets of senders that state no cold time, and are used like warm ones just after their start.
t.test("a new target that states no cold time is taken for cold from its start", (t) => {
  const { cold } = create();
  const fresh = createTargetRecord({ id: "new", bornMs: wallMs - 1000 });
  const old = createTargetRecord({ id: "old", bornMs: wallMs - 5000 });
  const ahead = createTargetRecord({ id: "ahead", bornMs: wallMs + 60_000 });
  const other = createTargetRecord({ id: "other", service: "plain", bornMs: wallMs });
  const targets = [fresh, old, ahead, other];
  const changes = cold.update({ targets, cold: [], wallMs, nowMs: 0 });
  t.same(changes, [
    { id: "new", leftMs: 2000 },
    { id: "ahead", leftMs: 3000 },
  ]);
  t.equal(cold.getRatePerS(fresh, 1999), 9.6);
  t.equal(cold.getRatePerS(fresh, 2000), null);
  t.same(cold.update({ targets, cold: [], wallMs, nowMs: 2500 }), [{ id: "new", leftMs: 0 }]);
  const stated = [{ id: "ahead", bornMs: ahead.bornMs, sequence: 1, leftMs: 0 }];
  t.same(cold.update({ targets, cold: stated, wallMs, nowMs: 2600 }), [{ id: "ahead", leftMs: 0 }]);
  t.end();
});

// Guards against coordinators of an earlier release, which pass on what a heartbeat states and list no cold targets.
t.test("beside an earlier release, the cold time of a new record counts from its arrival", (t) => {
  const { cold } = create();
  const target = createTargetRecord({ coldLeftMs: 1000 });
  t.same(cold.update({ targets: [target], cold: null, wallMs, nowMs: 0 }), [{ id: "t-1", leftMs: 1000 }]);
  t.same(cold.update({ targets: [target], cold: null, wallMs, nowMs: 1200 }), [{ id: "t-1", leftMs: 0 }]);
  t.end();
});

// Guards against a gateway that has just started and holds back targets that are warm.
t.test("targets that appear after the first list start a ramp, and those of the first list do not", (t) => {
  const { cold, ramps } = create();
  cold.update({ targets: [], cold: [], wallMs, nowMs: 0 });
  const first = createTargetRecord({ id: "first", bornMs: 1 });
  cold.update({ targets: [first], cold: [], wallMs, nowMs: 100 });
  t.notOk(ramps.isHeld("first", 9.6, 100));
  const second = createTargetRecord({ id: "second", bornMs: 1 });
  cold.update({ targets: [first, second], cold: [], wallMs, nowMs: 200 });
  t.ok(ramps.isHeld("second", 9.6, 200));
  t.notOk(ramps.isHeld("first", 9.6, 200));
  t.end();
});

// Guards against a step when the cold time ends, and against saved-up requests.
t.test("a ramp starts at the rate of a cold target and doubles every half second", (t) => {
  const { ramps } = create(2);
  ramps.start("t-1", 1000, false);
  const count = (fromMs: number, toMs: number): number => {
    let sent = 0;
    for (let nowMs = fromMs; nowMs < toMs; nowMs += 5) {
      while (!ramps.isHeld("t-1", 10, nowMs)) {
        ramps.noteSent("t-1", nowMs);
        sent += 1;
      }
    }
    return sent;
  };
  t.equal(count(500, 1000), 0, "before its start");
  t.same(
    [1000, 1500, 2000, 2500].map((fromMs) => count(fromMs, fromMs + 500)),
    [3, 7, 14, 29],
    "each of two gateways has half of 10 per second, which has grown by 1.44 on average of the first half second",
  );
  t.notOk(ramps.isHeld("t-1", 10, 4000));
  t.ok(ramps.isEmpty);
  t.end();
});
