import { runAgentStreamBench } from "@clementinemux/bench/agent/runAgentStreamBench";

const aligned = process.argv.includes("--aligned");
const seconds = Number(process.argv.find((flag) => flag.startsWith("--seconds="))?.split("=")[1] ?? 10);
// All other arguments are V8 flags for the agent.
const flags = process.argv.slice(2).filter((flag) => !/^--(aligned|seconds=.*)$/.test(flag));
const options = { eventsPerS: 300, streamCount: 10, durationMs: seconds * 1000, aligned, flags };
process.stdout.write(`${JSON.stringify({ aligned, flags, ...(await runAgentStreamBench(options)) })}\n`);
process.exit(0);
