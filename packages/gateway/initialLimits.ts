import type { CallerLimits } from "@clementinemux/routes/CallerLimits";

/**
 * Limits until the first document is known. Requests that arrive before wait for it, so that heads and bodies are held against
 * its limits then; until then the memory for unfinished uploads bounds them.
 */
export const initialLimits: CallerLimits = {
  maxHeaderBytes: 1_048_576,
  maxBodyBytes: 16_777_216,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};
