import { runBench } from "@clementinemux/bench/runBench";

// Benchmarks may leave idle connections open, which would keep the process alive.
process.exit(await runBench(process.argv.slice(2)));
