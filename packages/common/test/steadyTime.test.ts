import t from "tap";
import { getSteadyMs } from "../getSteadyMs";

// Guards against a wrong unit, and against a reading that goes back when the seconds change.
t.test("steady time", (t) => {
  const startedAtMs = performance.now();
  const firstMs = getSteadyMs();
  let lastMs = firstMs;
  let isSteady = true;
  while (performance.now() - startedAtMs < 1100) {
    const nowMs = getSteadyMs();
    isSteady &&= nowMs >= lastMs;
    lastMs = nowMs;
  }
  t.ok(isSteady);
  t.ok(lastMs - firstMs > 1050);
  t.ok(lastMs - firstMs <= performance.now() - startedAtMs);
  t.end();
});
