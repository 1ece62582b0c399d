import { runExpertsBench } from "@clementinemux/bench/experts/runExpertsBench";

const filter = process.argv.slice(2).find((argument) => !argument.startsWith("--")) ?? "";
const result = runExpertsBench(filter);
if (process.argv.includes("--json")) {
  console.log(JSON.stringify(result));
} else {
  for (const { scenario, lowerBoundSkew, policies } of result.scenarios) {
    console.log(`${scenario}: lower bound ${lowerBoundSkew.toFixed(4)}`);
    console.table(
      policies.map(({ skewSeries, reportedRanks, ...rest }) => ({
        ...rest,
        reportedRanks: reportedRanks.join(" "),
        points: skewSeries.length,
      })),
    );
  }
}
