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
  /** Size of the weights of one expert in one layer. */
  expertBytes: z.number().int().min(1),
  /**
   * RPC addresses of the control replicas, `host:port`. Without it, the relays are used as control replicas.
   */
  controlReplicas: z.array(z.string()).min(1).optional(),
  /** Path of the engine's activation status and load window. */
  statusPath: path.default("/engine/rank"),
  /** Path of the engine's expert maps, requested with `?version=N`. */
  mapPath: path.default("/engine/map"),
  /** Mean time between lease requests over all candidates of the group, while another agent leads. */
  candidateIntervalMs: z.number().int().min(50).max(60_000).default(500),
  /** At most a third of the group lease, so that the lease survives one lost renewal. */
  renewIntervalMs: z.number().int().min(50).max(1000).default(750),
  /** Interval at which the leader compares the ranks with the desired map and sends orders. */
  stepIntervalMs: z.number().int().min(10).max(1000).default(100),
  /** Interval of status polls per rank. During an activation, each order fetches the status, too. */
  statusIntervalMs: z.number().int().min(50).max(10_000).default(2000),
  /** Interval at which the load window of each rank is fetched. */
  reportIntervalMs: z.number().int().min(100).max(600_000).default(20_000),
  /** Interval at which the leader fetches changes of the directory from its relay. */
  directoryIntervalMs: z.number().int().min(100).max(60_000).default(5000),
  planIntervalMs: z.number().int().min(100).max(3_600_000).default(60_000),
  /** A map that is not committed within this time is aborted. */
  activationTimeoutMs: z.number().int().min(100).max(3_600_000).default(600_000),
  /** Steps between the last reported step and the step before which the ranks are armed. */
  armMarginSteps: z.number().int().min(1).max(100_000).default(50),
  /** The weight of a load window decays to 1/e within this time. */
  smoothingMs: z.number().int().min(100).max(86_400_000).default(60_000),
  /** Time constant of the load trend. */
  trendMs: z.number().int().min(100).max(86_400_000).default(600_000),
});
