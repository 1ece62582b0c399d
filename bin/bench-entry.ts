import { runEntryBench } from "@clementinemux/bench/entry/runEntryBench";

// The share of one entry at design scale is 25 requests/s and 10,300 tokens/s.
const designRequestsPerS = 25;
const factor = Number(process.argv[2] ?? 10);

const report = await runEntryBench({
  latencySeconds: 6,
  requestSeconds: 6,
  tokenSeconds: 10,
  tokenRequestsPerS: designRequestsPerS * factor,
});
process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
process.exitCode = report.wrongCount === 0 ? 0 : 1;
