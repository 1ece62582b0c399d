import { runBench } from "@clementinemux/bench/runBench";

// Benches may leave idle connections behind, which would keep the process alive.
process.exit(await runBench(process.argv.slice(2)));
