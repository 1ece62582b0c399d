/** File or stream to which a process writes its log. */
export interface LogTarget {
  /** Bytes that were written and not yet read. */
  readonly pendingBytes: number;
  /** Calls `onDone`, at once or later, with the error or null. May throw instead. */
  write(text: string, onDone: (error: Error | null) => void): void;
}
