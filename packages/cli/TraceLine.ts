/** Log line in the trace of a request. */
export interface TraceLine {
  /** Unix time, by the clock of the process that wrote the line. */
  readonly timeMs: number;
  /** Name of the process that wrote the line. */
  readonly instance: string;
  readonly event: string;
  readonly details: Readonly<Record<string, unknown>>;
  /** Whether the line names the request; false for a fleet event around that time. */
  readonly isOwn: boolean;
}
