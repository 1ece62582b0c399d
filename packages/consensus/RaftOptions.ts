import type { Random } from "@clementinemux/common/Random";

/** Timeouts and limits of the Raft core. */
export interface RaftOptions {
  readonly electionTimeoutMs: number;
  readonly heartbeatMs: number;
  /** Largest share by which a clock may run fast or slow; shortens the lease. */
  readonly maxClockDriftShare: number;
  readonly maxBatchEntries: number;
  /** Entries that are larger than a batch are sent in parts. */
  readonly maxBatchBytes: number;
  /** Size of a part of a large entry or of a snapshot. */
  readonly maxPartBytes: number;
  readonly random: Random;
}
