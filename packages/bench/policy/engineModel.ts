/**
 * Constants of the engine model. A step takes `stepMs` for an almost empty batch and twice as long for a full
 * one. Prefill runs in chunks within the steps.
 */
export const engineModel = {
  batchLimitCount: 32,
  stepMs: 12,
  prefillMsPerToken: 0.05,
  prefillChunkTokens: 512,
  blockTokens: 64,
  /** Blocks in the prefix cache: 64 prompts of 16 blocks. */
  cacheBlockCount: 1024,
  queueLimitCount: 64,
  failAfterMs: 5,
} as const;
