/** Map version that a rank uses from a step on. */
export interface ScheduledMap {
  readonly version: number;
  readonly fromStep: number;
}
