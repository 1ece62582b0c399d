import { runSoak } from "../platform/soak/runSoak";

// Sockets of targets in trouble may be left, which would keep the process alive.
process.exit(await runSoak(process.argv.slice(2)));
