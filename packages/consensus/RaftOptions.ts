import type { Random } from "@clementinemux/common/Random";

/** Timing and limits of the log core. */
export interface RaftOptions {
  readonly electionTimeoutMs: number;
  readonly heartbeatMs: number;
  /** Largest share by which a clock may run fast or slow. */
  readonly maxClockDriftShare: number;
  readonly maxBatchEntries: number;
  readonly maxBatchBytes: number;
  readonly random: Random;
}
