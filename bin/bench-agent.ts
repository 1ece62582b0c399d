import { runAgentStreamBench } from "@clementinemux/bench/agent/runAgentStreamBench";

const aligned = process.argv.includes("--aligned");
const flags = process.argv.slice(2).filter((flag) => flag !== "--aligned");
const options = { eventsPerS: 300, streamCount: 10, durationMs: 10_000, aligned, flags };
process.stdout.write(`${JSON.stringify({ aligned, flags, ...(await runAgentStreamBench(options)) })}\n`);
process.exit(0);
