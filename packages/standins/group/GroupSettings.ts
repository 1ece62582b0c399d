import * as z from "zod";

const port = z.number().int().min(1).max(65_535);

/** Settings of the stand-in rank group. */
export const GroupSettings = z.strictObject({
  host: z.string().default("127.0.0.1"),
  /** One HTTP port per rank. */
  ports: z.array(port).min(1).max(64),
  layerCount: z.number().int().min(1).max(64).default(1),
  expertCount: z.number().int().min(1).max(1024),
  slotsPerRank: z.number().int().min(1).max(1024),
  expertBytes: z.number().int().min(1),
  stepIntervalMs: z.number().int().min(1).max(10_000).default(10),
  tokensPerStep: z.number().int().min(1).max(1_000_000).default(4096),
  /** Compute time of a token on a healthy rank. */
  tokenMs: z.number().min(0).max(1000).default(0.01),
  /** Zipf exponent of the popularity of experts. */
  popularityExponent: z.number().min(0).max(4).default(1),
  /** Length of the load windows that the ranks report. */
  windowMs: z.number().int().min(10).max(60_000).default(500),
  weightStoreUrl: z.string(),
  loadTimeoutMs: z.number().int().min(10).max(60_000).default(1000),
  seed: z.number().int().default(1),
});
