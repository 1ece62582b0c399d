/** Where log lines go. Writing never waits. */
export interface LogSink {
  /** Bytes that were written and not read yet. */
  readonly pendingBytes: number;
  write(text: string): void;
}
