/** Settings of a stand-in engine. Times are in milliseconds. */
export interface EngineSettings {
  readonly host: string;
  readonly port: number;
  readonly models: readonly string[];
  readonly tokenIntervalMs: number;
  readonly firstTokenMs: number;
  /** Most requests in one batch. Others wait and are admitted by descending priority. */
  readonly batchLimitCount?: number;
  /** Step time that each request beyond the first adds. */
  readonly stepPerRequestMs?: number;
  /** Time to compute 1000 prompt tokens that are not in the prefix cache. */
  readonly prefillPerThousandMs?: number;
  /** Capacity of the prefix cache in blocks; the least recently used block is evicted. */
  readonly prefixCacheBlocks?: number;
  /** Age of the values in a load report. */
  readonly reportLagMs?: number;
  /** Delay of cache events. */
  readonly cacheEventDelayMs?: number;
  /** Share of cache events that is lost. */
  readonly cacheEventLossShare?: number;
  /** Time for which a stream can be resumed after its connection was lost. */
  readonly resumeWindowMs?: number;
  /** Size of a field added to each token, to fill the buffers of slow readers. */
  readonly tokenPaddingBytes?: number;
  /** Whether the engine itself rejects orders of an older epoch. */
  readonly checksFencing?: boolean;
  readonly seed?: number;
}
