/** One log line that bears on a request. */
export interface StoryLine {
  /** Since the Unix epoch, by the clock of the process. */
  readonly timeMs: number;
  /** Name of the process. */
  readonly instance: string;
  readonly event: string;
  readonly details: Readonly<Record<string, unknown>>;
  /** Whether the line names the request; the others tell what the fleet went through. */
  readonly isOwn: boolean;
}
