import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { renderSkewChart } from "@clementinemux/bench/experts/renderSkewChart";
import { runExpertsBench } from "@clementinemux/bench/experts/runExpertsBench";

// Usage: bench-experts [--json] [--seed=N] [--out=FOLDER] [SCENARIO]
const options = process.argv.slice(2);
const getOption = (name: string): string | undefined =>
  options.find((option) => option.startsWith(`--${name}=`))?.slice(name.length + 3);
const filter = options.find((option) => !option.startsWith("--")) ?? "";
const result = runExpertsBench(filter, Number(getOption("seed") ?? 77));
const folder = getOption("out");
if (folder !== undefined) {
  mkdirSync(folder, { recursive: true });
  for (const { scenario, policies } of result.scenarios) {
    writeFileSync(join(folder, `experts-${scenario}.svg`), renderSkewChart(scenario, policies));
  }
}
if (options.includes("--json")) {
  console.log(JSON.stringify(result));
} else {
  for (const { scenario, lowerBoundSkew, policies } of result.scenarios) {
    console.log(`${scenario}: lower bound ${lowerBoundSkew.toFixed(4)}`);
    console.table(policies.map(({ skewSeries, ...rest }) => ({ ...rest, points: skewSeries.length })));
  }
  console.table(result.steering);
  console.table(result.plannerCost);
}
