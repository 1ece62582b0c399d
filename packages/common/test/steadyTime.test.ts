import t from "tap";
import { getMonotonicMs } from "../getMonotonicMs";

// Guards against a wrong unit, and against a time that decreases when the seconds change.
t.test("monotonic time", (t) => {
  const startedAtMs = performance.now();
  const firstMs = getMonotonicMs();
  const firstReadAtMs = performance.now();
  let lastMs = firstMs;
  let isMonotonic = true;
  while (performance.now() - startedAtMs < 1100) {
    const nowMs = getMonotonicMs();
    isMonotonic &&= nowMs >= lastMs;
    lastMs = nowMs;
  }
  const lastReadAtMs = performance.now();
  lastMs = getMonotonicMs();
  t.ok(isMonotonic);
  // Bounds read between the two times hold however long the process waits for a processor.
  t.ok(lastMs - firstMs >= lastReadAtMs - firstReadAtMs);
  t.ok(lastMs - firstMs <= performance.now() - startedAtMs);
  t.end();
});
