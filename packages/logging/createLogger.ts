import { Roarr } from "roarr";
import type { Logger } from "roarr";

// Roarr writes only when this variable is set; our daemons always log.
process.env.ROARR_LOG ??= "true";

/** Creates the logger of one component. Each event is one JSON line on standard output. */
export function createLogger(program: string, context: Readonly<Record<string, string>>): Logger {
  return Roarr.child({ program, ...context });
}
