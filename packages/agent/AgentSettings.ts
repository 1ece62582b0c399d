import * as z from "zod";
import { TargetKind } from "@clementinemux/common/TargetKind";
import { TargetRole } from "@clementinemux/common/TargetRole";

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
  service: z.string().default(""),
  group: z.string().default(""),
  rank: z.number().int().min(0).max(1023).default(0),
  checksFencing: z.boolean().default(false),
  /** `host:port` of the target itself, on the same machine. */
  targetAddress: z.string(),
  /** Frame addresses of the relays, `host:port`, nearest first. */
  relays: z.array(z.string()).min(1),
  heartbeatIntervalMs: z.number().int().min(50).max(60_000).default(1000),
});
