import t from "tap";
import { PrefixIndex } from "@clementinemux/policy/routing/PrefixIndex";

// Guards against a late event that restores blocks that have been evicted since.
t.test("event out of order is dropped", (t) => {
  const index = new PrefixIndex(100);
  index.onCacheEvent("t", 1, [1, 2], []);
  index.onCacheEvent("t", 2, [], [1, 2]);
  index.onCacheEvent("t", 1, [1, 2], []);
  t.equal(index.getExpectedBlockCount("t", [1, 2]), 0);
  t.end();
});

// Guards against full confidence in an index that has missed evictions, and against confidence that never
// recovers.
t.test("gap lowers confidence and responses restore it", (t) => {
  const index = new PrefixIndex(100);
  index.onCacheEvent("t", 1, [1, 2, 3, 4], []);
  index.onCacheEvent("t", 3, [], []);
  const countAfterGap = index.getExpectedBlockCount("t", [1, 2, 3, 4]);
  t.equal(countAfterGap, 2);
  for (let count = 0; count < 30; count += 1) {
    index.onResponse("t", [1, 2, 3, 4], 4);
  }
  t.ok(index.getExpectedBlockCount("t", [1, 2, 3, 4]) > 3.8);
  t.end();
});

// Guards against an index that keeps sending to a target whose cache does not hold the prefix.
t.test("cache misses lower confidence", (t) => {
  const index = new PrefixIndex(100);
  index.onCacheEvent("t", 1, [1, 2], []);
  for (let count = 0; count < 30; count += 1) {
    index.onResponse("t", [1, 2], 0);
  }
  t.ok(index.getExpectedBlockCount("t", [1, 2]) < 0.2);
  t.end();
});

// Guards against memory that grows with the number of prompts.
t.test("blocks per target are bounded", (t) => {
  const index = new PrefixIndex(50);
  for (let hash = 0; hash < 1000; hash += 1) {
    index.onDispatch("t", [hash]);
  }
  t.equal(index.getBlockCount("t"), 50);
  t.end();
});
