import "./enableLogs";
import { ROARR, Roarr } from "roarr";
import type { Logger } from "roarr";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { BoundedLogWriter } from "./BoundedLogWriter";

/** Bytes written to a pipe or socket that is not read are buffered in memory, and count as pending. */
const standardOutput = {
  get pendingBytes(): number {
    return process.stdout.writableLength;
  },
  write(text: string): void {
    process.stdout.write(text);
  },
};
const writer = new BoundedLogWriter(standardOutput, new SystemClock());

/**
 * Creates the logger of one component. Each event is one JSON line on standard output, within a byte budget.
 */
export function createLogger(program: string, context: Readonly<Record<string, string>>): Logger {
  ROARR.serializeMessage = writer.serialize;
  ROARR.write = writer.write;
  return Roarr.child({ program, ...context });
}
