import { playEnds } from "../platform/ends/playEnds";

// Sockets of targets may still be open, which would keep the process alive.
process.exit(await playEnds(process.argv.slice(2)));
