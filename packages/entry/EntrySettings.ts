import * as z from "zod";

const port = z.number().int().min(1).max(65_535);

/** Settings of `clementinemux-entry`. */
export const EntrySettings = z.strictObject({
  name: z.string().min(1).max(128),
  host: z.string().default("127.0.0.1"),
  port,
  failureDomain: z.string().min(1),
  region: z.string().min(1),
  /** Frame addresses of the relays, `host:port`, nearest first. */
  relays: z.array(z.string()).min(1),
  pollIntervalMs: z.number().int().min(50).max(10_000).default(500),
});
