import t from "tap";
import { ShiftLead } from "@clementinemux/bench/shifts/ShiftLead";
import { ShiftModel } from "@clementinemux/bench/shifts/ShiftModel";
import { usualShiftDay } from "@clementinemux/bench/shifts/usualShiftDay";

// Only a hang reaches this.
t.setTimeout(90_000);

const day = { ...usualShiftDay, seed: 3, durationMs: 10_000, streamsPerS: 70 };

function run(lead: ShiftLead, maxHoldMs: number) {
  return new ShiftModel(day, { name: "", lead, hasCap: true, maxHoldMs }).run();
}

// Guards against a lead that comes too late for the shifts of the heaviest days, or plans maps that do not help.
t.test("the lead keeps most streams on time while other experts come into demand", async (t) => {
  const product = await run(ShiftLead.Product, 80);
  const none = await run(ShiftLead.None, 80);
  const ideal = await run(ShiftLead.Ideal, 80);
  t.ok(none.onTime < 0.2, `without a lead ${none.onTime}`);
  t.ok(ideal.onTime > 0.85, `with an ideal lead ${ideal.onTime}`);
  t.ok(product.onTime > ideal.onTime - 0.15, `with the product ${product.onTime}`);
  t.equal(product.heldPasses, 0, "guards against activations that make the group wait");
});

// Guards against held events that do not shorten pauses any more.
t.test("held events bring streams in on time that pauses would make late", async (t) => {
  const held = await run(ShiftLead.Product, 80);
  const passedOn = await run(ShiftLead.Product, 0);
  t.ok(held.onTime > passedOn.onTime + 0.05, `${held.onTime} against ${passedOn.onTime}`);
});

// Guards against a bench whose figures cannot be repeated.
t.test("the same seed gives the same day", async (t) => {
  t.same(await run(ShiftLead.Product, 80), await run(ShiftLead.Product, 80));
});
