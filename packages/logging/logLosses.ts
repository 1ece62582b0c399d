import { Counters } from "@clementinemux/metrics/Counters";
import { LogLossCause } from "./LogLossCause";

/** Log lines of this process that were not written. */
export const logLosses = new Counters("clementinemux_log_lines_lost", "cause", Object.values(LogLossCause));
