import t from "tap";
import type { Plan } from "@clementinemux/experts/planner/Plan";
import { PlanReason } from "@clementinemux/experts/planner/PlanReason";
import { formatPlan } from "@clementinemux/experts/preview/formatPlan";
import { formatRankBars } from "@clementinemux/experts/preview/formatRankBars";

// Guards against a dry run that omits a value or the reason.
t.test("dry run shows values and reason", (t) => {
  const move = { layer: 1, expert: 7, toRank: 3, sizeBytes: 5e8, startMs: 0, durationMs: 500 };
  const plan: Plan = {
    reason: PlanReason.Moves,
    map: { version: 2, layers: [] },
    isChanged: true,
    moves: Array.from({ length: 22 }, () => move),
    presentSkew: 1.5,
    splitSkew: 1.4,
    predictedSkew: 1.03,
    bytes: 11e9,
    transferMs: 11_000,
    savedMs: 60_000,
    delayedMs: 600,
  };
  const text = formatPlan("g1", plan);
  for (const part of [
    "skew now 1.500",
    "predicted 1.030",
    "22, 11.00 GB, 11.0 s",
    "delayed 0.60 s",
    "and 2 more",
  ]) {
    t.ok(text.includes(part), part);
  }
  t.ok(text.includes("layer 1 expert 7 to rank 3"));
  t.end();
});

// Guards against bars that are not proportional, and against division by zero without load.
t.test("bars are proportional", (t) => {
  t.equal(formatRankBars([0, 0]), "no load");
  const [full, half] = formatRankBars([20, 10]).split("\n");
  t.equal(full?.split("#").length, 40);
  t.equal(half?.split("#").length, 21);
  t.ok(full?.endsWith("1.33"));
  t.end();
});
