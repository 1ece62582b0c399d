import * as z from "zod";

const port = z.number().int().min(1).max(65_535);

/** Settings of `clementinemux-control`. */
export const ControlSettings = z.strictObject({
  name: z.string().min(1).max(128),
  host: z.string().default("127.0.0.1"),
  port,
  failureDomain: z.string().min(1),
  region: z.string().min(1),
});
