import "./enableLogs";
import { Roarr } from "roarr";
import type { Logger } from "roarr";

/** Creates the logger of one component. Each event is one JSON line on standard output. */
export function createLogger(program: string, context: Readonly<Record<string, string>>): Logger {
  return Roarr.child({ program, ...context });
}
