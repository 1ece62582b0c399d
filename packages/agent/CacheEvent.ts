/** Prefix cache event of an engine: sequence number, hash of a prompt block, 1 (stored) or 0 (evicted). */
export type CacheEvent = readonly [sequence: number, block: number, stored: 0 | 1];
