/** An operator's request to drain a target. Stored by target name, so that it persists across restarts. */
export interface TargetDrain {
  readonly reason: string;
  readonly author: string;
  readonly sinceMs: number;
}
