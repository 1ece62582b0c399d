import * as z from "zod";

const port = z.number().int().min(1).max(65_535);
const address = z.string().regex(/^(?:\[[^\]]+\]|[^:]+):\d{1,5}$/, "must have the form host:port");
const tls = z.strictObject({ keyFile: z.string(), certFile: z.string(), caFile: z.string() });

/** Settings of `clementinemux-control`. */
export const ControlSettings = z
  .strictObject({
    name: z.string().min(1).max(128),
    host: z.string().default("127.0.0.1"),
    port,
    failureDomain: z.string().min(1),
    region: z.string().min(1),
    /** Port of the HTTP API for operators; no API if absent. */
    apiPort: port.optional(),
    /** Folder for durable state; if absent, this process is only a relay. */
    dataFolder: z.string().min(1).optional(),
    /** Log groups of which this process hosts a replica. */
    groups: z
      .array(z.string().regex(/^(config|claims-\d{1,3})$/, 'must be "config" or "claims-N"'))
      .default(["config", "claims-0"]),
    /**
     * Number of claim groups of the whole fleet. Keys are mapped to groups by it, so it must not change while
     * keys are kept.
     */
    claimGroups: z.number().int().min(1).max(64).default(1),
    /** Addresses of the control replicas for frames, including this process. */
    replicas: z.array(address).min(1).max(64),
    /** Addresses of all relays for frames, including this process; defaults to the replicas. */
    relays: z.array(address).min(1).max(256).optional(),
    /** Creates new log groups on the listed replicas once all of them respond and have empty folders. */
    bootstrap: z.boolean().default(false),
    /** JSON file with the bearer tokens of operators: author by token. */
    tokensFile: z.string().optional(),
    tls: tls.optional(),
    apiTls: z.strictObject({ keyFile: z.string(), certFile: z.string() }).optional(),
    electionTimeoutMs: z.number().int().min(100).max(60_000).default(1000),
    heartbeatMs: z.number().int().min(10).max(10_000).default(100),
    maxClockDriftShare: z.number().min(0).max(0.1).default(0.01),
    /** Number of entries after which the log is compacted into a snapshot. */
    snapshotEntries: z.number().int().min(10).max(10_000_000).default(10_000),
    relayRenewIntervalMs: z.number().int().min(20).max(2000).default(250),
  })
  .refine(({ apiPort, tokensFile }) => apiPort === undefined || tokensFile !== undefined, {
    path: ["tokensFile"],
    error: "is required with apiPort",
  })
  .refine(({ heartbeatMs, electionTimeoutMs }) => heartbeatMs * 3 <= electionTimeoutMs, {
    path: ["heartbeatMs"],
    error: "must be at most a third of electionTimeoutMs",
  });
