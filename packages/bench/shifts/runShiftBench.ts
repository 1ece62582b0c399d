import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { renderLineChart } from "../renderLineChart";
import type { ShiftDay } from "./ShiftDay";
import { ShiftPlacement } from "./ShiftPlacement";
import { ShiftModel } from "./ShiftModel";
import type { ShiftPolicy } from "./ShiftPolicy";
import type { ShiftResult } from "./ShiftResult";
import { usualShiftDay } from "./usualShiftDay";

interface ShiftRow extends ShiftResult {
  readonly streamsPerS: number;
  readonly policy: string;
}

const policies: readonly ShiftPolicy[] = [
  { name: "product", placement: ShiftPlacement.Controller, limitsByMeasuredGaps: true, maxHoldMs: 80 },
  { name: "no cap", placement: ShiftPlacement.Controller, limitsByMeasuredGaps: false, maxHoldMs: 80 },
  { name: "no held events", placement: ShiftPlacement.Controller, limitsByMeasuredGaps: true, maxHoldMs: 0 },
  { name: "no lead", placement: ShiftPlacement.None, limitsByMeasuredGaps: true, maxHoldMs: 80 },
  { name: "ideal lead", placement: ShiftPlacement.Ideal, limitsByMeasuredGaps: true, maxHoldMs: 80 },
];
const rates = [40, 55, 70, 85];

/**
 * Simulates days with shifts of expert popularity at several rates of streams, with single features disabled.
 * Writes a chart of the on-time share by rate to the folder, if one is given.
 */
export async function runShiftBench(
  seed: number,
  durationMs: number,
  folder: string | undefined,
): Promise<object> {
  const results: ShiftRow[] = [];
  for (const streamsPerS of rates) {
    const day: ShiftDay = { ...usualShiftDay, seed, durationMs, streamsPerS };
    for (const policy of policies) {
      const result = await new ShiftModel(day, policy).run();
      results.push({ streamsPerS, policy: policy.name, ...result });
    }
  }
  if (folder !== undefined) {
    mkdirSync(folder, { recursive: true });
    writeFileSync(join(folder, "shifts.svg"), renderOnTimeChart(results));
  }
  return { seed, durationMs, results };
}

function renderOnTimeChart(results: readonly ShiftRow[]): string {
  return renderLineChart({
    title: "share of streams on time by streams a second",
    series: policies.map(({ name }) => ({
      name,
      values: results.filter(({ policy }) => policy === name).map(({ onTime }) => onTime),
    })),
    range: [0, 1],
    ticks: [0, 0.25, 0.5, 0.75, 1],
    labels: rates.map(String),
  });
}
