import { runBench } from "@clementinemux/bench/runBench";

process.exitCode = await runBench(process.argv.slice(2));
