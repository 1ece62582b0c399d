import * as z from "zod";

/** Settings of the gateway process that the bench measures. */
export const GatewayBenchSettings = z.strictObject({
  host: z.string(),
  callerPort: z.number().int(),
  readyPort: z.number().int(),
  coordinatorPort: z.number().int(),
  maxHoldMs: z.number(),
});
