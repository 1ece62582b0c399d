import t from "tap";
import { computeGroupSlowdowns } from "@clementinemux/control/ranks/computeGroupSlowdowns";

const usual = { passMs: 50, highestSlowdown: 1, isStalled: false };

// Guards against requests that are sent to a group with a straggler while another group is fast.
t.test("groups are compared with the fastest one of their service", (t) => {
  t.same(computeGroupSlowdowns([usual, { ...usual, passMs: 150 }]), [1, 3]);
  t.same(
    computeGroupSlowdowns([usual, { ...usual, passMs: 58 }]),
    [1, 1],
    "short-term differences do not count",
  );
  t.same(
    computeGroupSlowdowns([{ ...usual, passMs: 150, highestSlowdown: 4 }]),
    [1],
    "there is no other group",
  );
  t.end();
});

t.test("an idle group is rated by its ranks, a stalled one is the last choice", (t) => {
  const idle = { ...usual, passMs: null, highestSlowdown: 4 };
  t.same(
    computeGroupSlowdowns([usual, idle]),
    [1, 4],
    "guards against a straggler that is used again at once",
  );
  const [, stalled = 0] = computeGroupSlowdowns([usual, { ...usual, isStalled: true }]);
  t.ok(stalled > 4);
  t.same(computeGroupSlowdowns([idle, idle]), [1, 1], "nothing to compare with");
  t.end();
});
