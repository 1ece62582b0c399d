import * as z from "zod";
import { TargetKind } from "@clementinemux/common/TargetKind";
import { TargetRole } from "@clementinemux/common/TargetRole";
import { RankGroupSettings } from "./RankGroupSettings";

const port = z.number().int().min(1).max(65_535);

/** Settings of `clementinemux-agent`. */
export const AgentSettings = z.strictObject({
  target: z.string().min(1).max(128),
  host: z.string().default("127.0.0.1"),
  port,
  failureDomain: z.string().min(1),
  region: z.string().min(1),
  kind: z.enum(TargetKind),
  role: z.enum(TargetRole).default(TargetRole.Both),
  models: z.array(z.string()).default([]),
  adapters: z.array(z.string()).default([]),
  version: z.string().max(128).default(""),
  service: z.string().default(""),
  group: z.string().default(""),
  rank: z.number().int().min(0).max(1023).default(0),
  /**
   * Dimensions of the rank group and intervals of its leader. Must be equal in all agents of the group.
   * Without it, no leader is elected.
   */
  rankGroup: RankGroupSettings.optional(),
  checksFencing: z.boolean().default(false),
  /** `host:port` of the target itself, on the same instance. */
  targetAddress: z.string(),
  /** Path of the target's load report. Polled even without reports, to check that the target responds. */
  loadPath: z.string().startsWith("/").default("/engine/load"),
  /** Path of the engine's cache events, requested with `?after=SEQUENCE`. */
  cacheEventsPath: z.string().startsWith("/").default("/engine/cache-events"),
  /** Path on which the target accepts orders. */
  orderPath: z.string().startsWith("/").default("/engine/orders"),
  loadIntervalMs: z.number().int().min(50).max(60_000).default(500),
  /** RPC addresses of the relays, `host:port`, nearest first. */
  relays: z.array(z.string()).min(1),
  /** At most a quarter of the serving lease, and less than the time after which a relay suspects a target. */
  heartbeatIntervalMs: z.number().int().min(50).max(1000).default(1000),
  /** Time for the requests in flight to end after SIGTERM. */
  shutdownDeadlineMs: z.number().int().min(0).max(3_600_000).default(300_000),
  /** Time for a non-repeatable call to end after its caller has disconnected, before it is aborted. */
  abandonedTimeoutMs: z.number().int().min(1000).max(3_600_000).default(600_000),
  maxConnections: z.number().int().min(1).max(65_535).default(1024),
  /** PEM files for mutual TLS with relays and entries. Without them, connections are unencrypted. */
  tls: z.strictObject({ keyFile: z.string(), certFile: z.string(), caFile: z.string() }).optional(),
});
