import * as z from "zod";

const path = z.string().startsWith("/");

/** Settings of an agent whose target is a rank of a group. */
export const RankGroupSettings = z.strictObject({
  rankCount: z.number().int().min(1).max(1024),
  layerCount: z.number().int().min(1).max(1024),
  /** Experts per layer. */
  expertCount: z.number().int().min(1).max(4096),
  /** Experts that a rank can hold per layer. */
  slotsPerRank: z.number().int().min(1).max(4096),
  /** Weights of one expert of one layer. */
  expertBytes: z.number().int().min(1),
  /** Frame addresses of the control replicas, `host:port`; absent: the relays are replicas. */
  controlReplicas: z.array(z.string()).min(1).optional(),
  /** Path of the engine's activation status and load window. */
  statusPath: path.default("/engine/rank"),
  /** Path of the engine's expert maps, asked for as `?version=N`. */
  mapPath: path.default("/engine/map"),
  /** Mean time between two questions for the lease from the group as a whole, while another agent leads. */
  candidateIntervalMs: z.number().int().min(50).max(60_000).default(500),
  /** At most a third of the group lease, so that one lost renewal does not end it. */
  renewIntervalMs: z.number().int().min(50).max(1000).default(750),
  /** Interval in which the lead compares the ranks with its goal. */
  stepIntervalMs: z.number().int().min(10).max(1000).default(100),
  /** Interval of the status of each rank; during an activation, every order fetches one. */
  statusIntervalMs: z.number().int().min(50).max(10_000).default(2000),
  /** Interval of the load window of each rank. */
  reportIntervalMs: z.number().int().min(100).max(600_000).default(20_000),
  /** Interval in which the lead asks its relay for changes of the directory. */
  directoryIntervalMs: z.number().int().min(100).max(60_000).default(5000),
  planIntervalMs: z.number().int().min(100).max(3_600_000).default(60_000),
  /** A map that is not decided by then is aborted. */
  activationTimeoutMs: z.number().int().min(100).max(3_600_000).default(600_000),
  /** Steps between the latest known step and the one before which ranks are armed. */
  armMarginSteps: z.number().int().min(1).max(100_000).default(50),
  /** Weight of a load window falls to 1/e after this time. */
  smoothingMs: z.number().int().min(100).max(86_400_000).default(60_000),
  /** Time constant of the trend of a load. */
  trendMs: z.number().int().min(100).max(86_400_000).default(600_000),
});
