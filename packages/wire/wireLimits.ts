/** Bounds that keep one peer from exhausting a process. */
export const wireLimits = {
  headerBytes: 4,
  maxFrameBytes: 1_048_576,
  maxConnections: 4096,
  /** Unsent bytes after which a connection is closed, since its peer has stopped reading. */
  maxUnsentBytes: 8_388_608,
} as const;
