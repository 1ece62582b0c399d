import { getSteadyMs } from "./getSteadyMs";
import type { Clock } from "./Clock";

/** Clock of this machine. */
export class SystemClock implements Clock {
  monotonicMs(): number {
    return getSteadyMs();
  }

  wallMs(): number {
    return Date.now();
  }
}
