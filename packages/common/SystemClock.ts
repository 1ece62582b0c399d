import { performance } from "node:perf_hooks";
import type { Clock } from "./Clock";

/** Clock of this machine. */
export class SystemClock implements Clock {
  monotonicMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }
}
