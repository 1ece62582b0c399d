import t from "tap";
import { SuspendAwareClock } from "@clementinemux/common/SuspendAwareClock";

t.test("a suspension is included in the monotonic time", (t) => {
  let systemMs = 0;
  let wallMs = 1000;
  const clock = new SuspendAwareClock(
    () => systemMs,
    () => wallMs,
  );
  const before = clock.monotonicMs();
  wallMs += 10_000;
  t.equal(clock.monotonicMs() - before, 10_000, "guards against leases that stay valid over a suspension");
  systemMs += 50;
  wallMs += 50;
  t.equal(clock.monotonicMs() - before, 10_050);
  t.end();
});

t.test("a jump back does not hide a later suspension", (t) => {
  let systemMs = 0;
  let wallMs = 100_000;
  const clock = new SuspendAwareClock(
    () => systemMs,
    () => wallMs,
  );
  wallMs -= 5000;
  systemMs += 100;
  t.equal(clock.monotonicMs(), 100, "time never decreases");
  wallMs += 3000;
  t.equal(clock.monotonicMs(), 3100, "guards against missing a suspension after the wall clock was set back");
  t.end();
});
