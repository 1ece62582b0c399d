/** Interval at which settings that are not valid are read again. */
const rereadIntervalMs = 50;
/** Settings that are invalid and unchanged for this time are a mistake, and not a file that is being written. */
const unchangedLimitMs = 10_000;
/** Least time between two reports of what is wrong. */
const reportIntervalMs = 1000;

/**
 * Decides how long invalid settings may still become valid. Time is counted in reads, so that a suspension of the process
 * itself does not use it up. Pure.
 */
export class SettingsPatience {
  readonly rereadIntervalMs = rereadIntervalMs;
  #text: string | null = null;
  #unchangedMs = 0;
  #reportedFault = "";
  #sinceReportMs = Infinity;

  /** Whether to read again after a read that found invalid settings. `text` is the content, or why it cannot be read. */
  shouldReread(text: string): boolean {
    this.#unchangedMs = text === this.#text ? this.#unchangedMs + rereadIntervalMs : 0;
    this.#text = text;
    return this.#unchangedMs < unchangedLimitMs;
  }

  /** Whether to report this fault, which the last read has found. */
  shouldReport(fault: string): boolean {
    this.#sinceReportMs += rereadIntervalMs;
    if (fault === this.#reportedFault || this.#sinceReportMs < reportIntervalMs) {
      return false;
    }
    this.#reportedFault = fault;
    this.#sinceReportMs = 0;
    return true;
  }
}
