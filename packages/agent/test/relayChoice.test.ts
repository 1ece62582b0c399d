import t from "tap";
import { RelaySelector } from "@clementinemux/agent/RelaySelector";

// Guards against an agent that has no relay, or keeps a distant one forever, after its relays failed.
t.test("nearest live relays are used", (t) => {
  const selector = new RelaySelector(4, () => 0.5);
  t.same(selector.choose(0), [0, 1]);
  selector.onFailure(0, 0);
  t.same(selector.choose(1), [1, 2]);
  selector.onFailure(1, 1);
  selector.onFailure(2, 1);
  selector.onFailure(3, 1);
  t.same(selector.choose(2), [0]);
  t.same(selector.choose(1001), [0, 1]);
  t.end();
});

// Guards against agents that all return to a restarted relay at the same moment.
t.test("backoff of a failed relay is jittered and grows", (t) => {
  const early = new RelaySelector(3, () => 0);
  const late = new RelaySelector(3, () => 0.999);
  for (const selector of [early, late]) {
    selector.onFailure(0, 0);
  }
  t.same(early.choose(600), [0, 1]);
  t.same(late.choose(600), [1, 2]);
  early.onFailure(0, 600);
  t.same(early.choose(1500), [1, 2]);
  early.onSuccess(0);
  t.same(early.choose(1500), [0, 1]);
  t.end();
});
