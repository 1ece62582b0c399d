import type { CallerLimits } from "@clementinemux/routes/CallerLimits";

/** Limits until the first document is known. */
export const initialLimits: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};
