import type { Random } from "@clementinemux/common/Random";

/** Timeouts and limits of the Raft core. */
export interface RaftOptions {
  readonly electionTimeoutMs: number;
  readonly heartbeatMs: number;
  /** Largest share by which a clock may run fast or slow; shortens the lease. */
  readonly maxClockDriftShare: number;
  readonly maxBatchEntries: number;
  readonly maxBatchBytes: number;
  readonly random: Random;
}
