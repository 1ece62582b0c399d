/** Destination of log lines. Writing never throws. */
export interface LogSink {
  /** Bytes that were written and not yet read. */
  readonly pendingBytes: number;
  /** Whether writing has just failed, so that lines are refused for a while. */
  readonly isFailing: boolean;
  /** Calls `onLost`, at once or later, when the text could not be written. */
  write(text: string, onLost: () => void): void;
}
