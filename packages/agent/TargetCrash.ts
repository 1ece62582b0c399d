/** Crash of an agent's target. */
export interface TargetCrash {
  /** Counts the crashes since the agent started, from 1. */
  readonly number: number;
  /** Time since the crash, in ms. */
  readonly ageMs: number;
}
