/** Behaviour of a stand-in engine. Times are milliseconds. */
export interface EngineSettings {
  readonly host: string;
  readonly port: number;
  readonly models: readonly string[];
  readonly tokenIntervalMs: number;
  readonly firstTokenMs: number;
  /** Requests in one batch; others wait, the highest priority first. */
  readonly batchLimitCount?: number;
  /** Step time added for each request in the batch beyond the first. */
  readonly stepPerRequestMs?: number;
  /** Time to compute 1000 prompt tokens that are not in the prefix cache. */
  readonly prefillPerThousandMs?: number;
  /** Prefix blocks that the cache holds; the least recently used is dropped. */
  readonly prefixCacheBlocks?: number;
  /** Age of the figures in a load report. */
  readonly reportLagMs?: number;
  /** Delay of cache events, and share of them that is lost. */
  readonly cacheEventDelayMs?: number;
  readonly cacheEventLossShare?: number;
  /** Time that a stream whose connection was lost can still be resumed. */
  readonly resumeWindowMs?: number;
  /** Size of a field added to each token, to fill the buffers of slow readers. */
  readonly tokenPaddingBytes?: number;
  readonly checksFencing?: boolean;
  readonly seed?: number;
}
