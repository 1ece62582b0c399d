import t from "tap";
import { SuspensionClock } from "@clementinemux/common/SuspensionClock";

t.test("a suspension counts", (t) => {
  let steadyMs = 0;
  let wallMs = 1000;
  const clock = new SuspensionClock(
    () => steadyMs,
    () => wallMs,
  );
  const before = clock.monotonicMs();
  wallMs += 10_000;
  t.equal(clock.monotonicMs() - before, 10_000, "guards against leases that outlive a suspended machine");
  steadyMs += 50;
  wallMs += 50;
  t.equal(clock.monotonicMs() - before, 10_050);
  t.end();
});

t.test("a jump back does not hide a later suspension", (t) => {
  let steadyMs = 0;
  let wallMs = 100_000;
  const clock = new SuspensionClock(
    () => steadyMs,
    () => wallMs,
  );
  wallMs -= 5000;
  steadyMs += 100;
  t.equal(clock.monotonicMs(), 100, "time never goes back");
  wallMs += 3000;
  t.equal(clock.monotonicMs(), 3100, "guards against a time of day that was set back before the suspension");
  t.end();
});
