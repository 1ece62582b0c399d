import t from "tap";
import { ShiftPlacement } from "@clementinemux/bench/shifts/ShiftPlacement";
import { ShiftModel } from "@clementinemux/bench/shifts/ShiftModel";
import { usualShiftDay } from "@clementinemux/bench/shifts/usualShiftDay";

// Reached only when a test hangs.
t.setTimeout(90_000);

const day = { ...usualShiftDay, seed: 3, durationMs: 10_000, streamsPerS: 70 };

function run(placement: ShiftPlacement, maxHoldMs: number) {
  return new ShiftModel(day, { name: "", placement, limitsByMeasuredGaps: true, maxHoldMs }).run();
}

// Guards against a leader that reacts too late to popularity shifts or plans maps that do not help.
t.test("the leader keeps most streams on time while expert popularity shifts", async (t) => {
  const product = await run(ShiftPlacement.Controller, 80);
  const none = await run(ShiftPlacement.None, 80);
  const ideal = await run(ShiftPlacement.Ideal, 80);
  t.ok(none.onTime < 0.2, `without a leader ${none.onTime}`);
  t.ok(ideal.onTime > 0.85, `with an ideal leader ${ideal.onTime}`);
  t.ok(product.onTime > ideal.onTime - 0.15, `with the group controller ${product.onTime}`);
  t.equal(product.heldPasses, 0, "no forward pass waits for an activation");
});

// Guards against event pacing that no longer shortens gaps.
t.test("event pacing keeps more streams on time", async (t) => {
  const paced = await run(ShiftPlacement.Controller, 80);
  const unpaced = await run(ShiftPlacement.Controller, 0);
  t.ok(paced.onTime > unpaced.onTime + 0.05, `${paced.onTime} against ${unpaced.onTime}`);
});

// Guards against results that cannot be reproduced.
t.test("the same seed gives the same day", async (t) => {
  t.same(await run(ShiftPlacement.Controller, 80), await run(ShiftPlacement.Controller, 80));
});
