/** Destination of log lines. Writing never blocks. */
export interface LogSink {
  /** Bytes that were written and not yet read. */
  readonly pendingBytes: number;
  write(text: string): void;
}
