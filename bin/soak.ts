import { runSoak } from "../platform/soak/runSoak";

// Sockets of failed targets may still be open, which would keep the process alive.
process.exit(await runSoak(process.argv.slice(2)));
