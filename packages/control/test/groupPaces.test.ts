import t from "tap";
import { computeGroupPaces } from "@clementinemux/control/ranks/computeGroupPaces";

const usual = { passMs: 50, slowestPace: 1, isStopped: false };

// Guards against requests that go to a group with a straggler while another group is quick.
t.test("groups are compared with the quickest one of their service", (t) => {
  t.same(computeGroupPaces([usual, { ...usual, passMs: 150 }]), [1, 3]);
  t.same(
    computeGroupPaces([usual, { ...usual, passMs: 58 }]),
    [1, 1],
    "differences of the moment do not count",
  );
  t.same(computeGroupPaces([{ ...usual, passMs: 150, slowestPace: 4 }]), [1], "there is no other group");
  t.end();
});

t.test("a group at rest is judged by its ranks, one that stands still is the last choice", (t) => {
  const resting = { ...usual, passMs: null, slowestPace: 4 };
  t.same(
    computeGroupPaces([usual, resting]),
    [1, 4],
    "guards against a straggler that is tried again at once",
  );
  const [, stopped = 0] = computeGroupPaces([usual, { ...usual, isStopped: true }]);
  t.ok(stopped > 4);
  t.same(computeGroupPaces([resting, resting]), [1, 1], "nothing to compare with");
  t.end();
});
