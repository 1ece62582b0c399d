import { getMonotonicMs } from "./getMonotonicMs";
import type { Clock } from "./Clock";

/** Clock of this machine. */
export class SystemClock implements Clock {
  monotonicMs(): number {
    return getMonotonicMs();
  }

  wallMs(): number {
    return Date.now();
  }
}
