/** An operator's order that a target leaves; kept by target name, so that it outlives a restart. */
export interface TargetDrain {
  readonly reason: string;
  readonly author: string;
  readonly sinceMs: number;
}
