import { readFileSync } from "node:fs";

/** Descriptors for coordinators, readiness checks, metrics, logs and the runtime. */
const reservedDescriptors = 128;
/** Each request in work needs a connection to a target beside that of its caller. */
const callerShare = 0.5;
const defaultDescriptors = 1024;
const minCallers = 64;

/** Most connections of callers at a time, from the limit on open descriptors of this process. */
export function getMaxCallers(): number {
  return Math.max(minCallers, Math.floor((readDescriptorLimit() - reservedDescriptors) * callerShare));
}

function readDescriptorLimit(): number {
  try {
    const limits = readFileSync("/proc/self/limits", "utf8");
    const limit = Number(/^Max open files\s+(\d+)/m.exec(limits)?.[1]);
    return Number.isFinite(limit) ? limit : defaultDescriptors;
  } catch {
    // The system states no limit there.
    return defaultDescriptors;
  }
}
