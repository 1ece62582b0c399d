/**
 * Prefix cache event of an engine: sequence number, hash of a prompt block, and 1 for stored or 0 for
 * evicted.
 */
export type CacheEvent = readonly [sequence: number, block: number, stored: 0 | 1];
