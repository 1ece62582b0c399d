import t from "tap";
import { computeGroupPaces } from "@clementinemux/control/ranks/computeGroupPaces";

const usual = { passMs: 50, highestSlowdown: 1, isStalled: false };

// Guards against requests that are sent to a group with a straggler while another group is fast.
t.test("groups are compared with the fastest one of their service", (t) => {
  t.same(computeGroupPaces([usual, { ...usual, passMs: 150 }]), [1, 3]);
  t.same(computeGroupPaces([usual, { ...usual, passMs: 58 }]), [1, 1], "short-term differences do not count");
  t.same(computeGroupPaces([{ ...usual, passMs: 150, highestSlowdown: 4 }]), [1], "there is no other group");
  t.end();
});

t.test("an idle group is rated by its ranks, a stalled one is the last choice", (t) => {
  const idle = { ...usual, passMs: null, highestSlowdown: 4 };
  t.same(computeGroupPaces([usual, idle]), [1, 4], "guards against a straggler that is used again at once");
  const [, stalled = 0] = computeGroupPaces([usual, { ...usual, isStalled: true }]);
  t.ok(stalled > 4);
  t.same(computeGroupPaces([idle, idle]), [1, 1], "nothing to compare with");
  t.end();
});
