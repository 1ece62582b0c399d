import t from "tap";
import { getMonotonicMs } from "../getMonotonicMs";

// Guards against a wrong unit, and against a time that decreases when the seconds change.
t.test("monotonic time", (t) => {
  const startedAtMs = performance.now();
  const firstMs = getMonotonicMs();
  let lastMs = firstMs;
  let isMonotonic = true;
  while (performance.now() - startedAtMs < 1100) {
    const nowMs = getMonotonicMs();
    isMonotonic &&= nowMs >= lastMs;
    lastMs = nowMs;
  }
  t.ok(isMonotonic);
  t.ok(lastMs - firstMs > 1050);
  t.ok(lastMs - firstMs <= performance.now() - startedAtMs);
  t.end();
});
