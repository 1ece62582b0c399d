import * as z from "zod";
import { encodeHeaderText } from "@clementinemux/wire/encodeHeaderText";

const port = z.number().int().min(0).max(65_535);

const caller = z.strictObject({
  team: z
    .string()
    .min(1)
    .max(128)
    .refine((name) => encodeHeaderText(name) !== null, "must have no control characters"),
  /** Bearer token. A team may have several, so that one can be rotated without downtime. */
  token: z.string().min(8).max(512),
});

const address = z.string().regex(/^(?:\[[^\]]+\]|[^:]+):\d{1,5}$/, "must have the form host:port");

const tlsFiles = z.strictObject({
  /** PEM file with the private key. */
  keyFile: z.string(),
  /** PEM file with the certificate chain. */
  certFile: z.string(),
});

/** Settings of `clementinemux-entry`. */
export const EntrySettings = z.strictObject({
  name: z.string().min(1).max(128),
  host: z.string().default("127.0.0.1"),
  port,
  /** URL that callers connect to; empty for `http(s)://host:port`. */
  url: z.string().default(""),
  failureDomain: z.string().min(1),
  region: z.string().min(1),
  /** RPC addresses of the relays, `host:port`, nearest first. */
  relays: z.array(address).min(1),
  /** RPC addresses of the control replicas, which store the claims. Defaults to the relays. */
  control: z.array(address).min(1).optional(),
  /** Number of claim groups in the fleet. Must equal the setting of control. */
  claimGroups: z.number().int().min(1).max(64).default(1),
  /** Mutual TLS for connections to relays, control and agents. */
  peerTls: z.strictObject({ keyFile: z.string(), certFile: z.string(), caFile: z.string() }).optional(),
  callers: z.array(caller).default([]),
  /** Team of callers without a token. If empty, they are rejected. */
  anonymousTeam: z.string().max(128).default(""),
  /** TLS for callers. Plain HTTP when absent. */
  tls: tlsFiles.optional(),
  pollIntervalMs: z.number().int().min(50).max(10_000).default(500),
  /** These limits keep callers from exhausting the process. */
  maxBodyBytes: z.number().int().min(1024).max(67_108_864).default(4_194_304),
  maxHeaderBytes: z.number().int().min(1024).max(65_536).default(16_384),
  maxConnections: z.number().int().min(1).max(65_536).default(8192),
  maxRequestsInFlight: z.number().int().min(1).max(65_536).default(4096),
  /** Largest response that is recorded for callers' retries. A frame holds at most 1 MiB. */
  maxRecordedBytes: z.number().int().min(0).max(1_000_000).default(524_288),
  claimTimeoutMs: z.number().int().min(10).max(60_000).default(1000),
  explainedRequests: z.number().int().min(0).max(100_000).default(2000),
  /** Time until all other entries no longer list a leaving entry in their responses. */
  addressSettleMs: z.number().int().min(0).max(60_000).default(2000),
  /** Time after the start of a shutdown at which the remaining requests are ended with an error. */
  shutdownDeadlineMs: z.number().int().min(0).max(3_600_000).default(300_000),
});
