/** Map version that a rank uses starting at a step. */
export interface ScheduledMap {
  readonly version: number;
  readonly fromStep: number;
}
