import { encode } from "cbor-x";
import { measurePlannerCost } from "../experts/measurePlannerCost";
import { fitLine } from "../fitLine";
import type { Slope } from "./Slope";
import { createSlope } from "./createSlope";

/** Measures the slopes of a group leader: time of a plan and size of a rank's report. */
export function measureLeader(): Slope[] {
  const costs = measurePlannerCost();
  const base = { expertCount: 256, rankCount: 32, layerCount: 1 };
  const sizes = ["expertCount", "rankCount", "layerCount"] as const;
  const plans = sizes.map((size) => {
    const others = sizes.filter((other) => other !== size);
    const points = costs
      .filter((cost) => others.every((other) => cost[other] === base[other]))
      .map((cost) => ({ x: cost[size], y: cost.medianMs }));
    return {
      name: `lead.planMsBy_${size}`,
      unit: `ms/${size} (wall time, median)`,
      points,
      ...fitLine(points),
    };
  });
  const report = createSlope("lead.reportBytes", "B/layer of 256 experts", [1, 4, 16, 58], (layerCount) => {
    const tokens = Array.from({ length: layerCount }, (_, layer) =>
      Array.from({ length: base.expertCount }, (__, expert) => 1000 + ((layer * 31 + expert * 17) % 4000)),
    );
    const identity = { rank: 1, incarnation: "01764800000000-1a2b3c4d", mapVersion: 12 };
    return encode({ ...identity, measuredAtMs: 1_764_800_000_000, windowMs: 60_000, tokens, stepMs: 19.5 })
      .length;
  });
  return [...plans, report];
}
