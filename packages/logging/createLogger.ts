import "./enableLogs";
import { ROARR, Roarr } from "roarr";
import type { Logger } from "roarr";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { BoundedLogWriter } from "./BoundedLogWriter";
import { RetryingSink } from "./RetryingSink";
import { logLosses } from "./logLosses";
import { openStandardOutput } from "./openStandardOutput";

const clock = new SystemClock();
const writer = new BoundedLogWriter(new RetryingSink(openStandardOutput(), clock), clock, logLosses);
// The library's own writer throws each error of standard output but EPIPE.
ROARR.teardown?.();

/**
 * Creates the logger of one component. Each event is one JSON line on standard output, within a byte budget. A line
 * that cannot be written is counted and costs nothing else.
 */
export function createLogger(program: string, context: Readonly<Record<string, string>>): Logger {
  ROARR.serializeMessage = writer.serialize;
  ROARR.write = writer.write;
  return Roarr.child({ program, ...context });
}
