import type { ShiftDay } from "./ShiftDay";
import { ShiftLead } from "./ShiftLead";
import { ShiftModel } from "./ShiftModel";
import type { ShiftPolicy } from "./ShiftPolicy";
import { usualShiftDay } from "./usualShiftDay";

const policies: readonly ShiftPolicy[] = [
  { name: "product", lead: ShiftLead.Product, hasCap: true, maxHoldMs: 80 },
  { name: "no cap", lead: ShiftLead.Product, hasCap: false, maxHoldMs: 80 },
  { name: "no held events", lead: ShiftLead.Product, hasCap: true, maxHoldMs: 0 },
  { name: "no lead", lead: ShiftLead.None, hasCap: true, maxHoldMs: 80 },
  { name: "ideal lead", lead: ShiftLead.Ideal, hasCap: true, maxHoldMs: 80 },
];
const rates = [40, 55, 70, 85];

/** Plays days with shifts of demand at several rates of streams, with parts of the product switched off. */
export async function runShiftBench(seed: number, durationMs: number): Promise<object> {
  const results: object[] = [];
  for (const streamsPerS of rates) {
    const day: ShiftDay = { ...usualShiftDay, seed, durationMs, streamsPerS };
    for (const policy of policies) {
      const result = await new ShiftModel(day, policy).run();
      results.push({ streamsPerS, policy: policy.name, ...result });
    }
  }
  return { seed, durationMs, results };
}
