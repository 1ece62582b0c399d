/** What a process does when it receives a signal. */
export enum SignalAction {
  /** Stops the process in an orderly way; signals after the first change nothing. */
  Stop = "stop",
  /** Changes nothing. The settings of a running process stay as they are. */
  Ignore = "ignore",
}
