/** Bounds that keep one peer from exhausting a process. */
export const wireLimits = {
  headerBytes: 4,
  maxFrameBytes: 1_048_576,
  maxConnections: 4096,
  /** Calls of one client that wait for a response; more means that the peer does not keep up. */
  maxPendingCalls: 10_000,
  /** Time to complete a frame or TLS handshake; a slower peer occupies a connection without using it. */
  frameTimeoutMs: 5000,
  /** Unsent bytes above which a connection is closed, since its peer has stopped reading. */
  maxUnsentBytes: 8_388_608,
  /** Unsent bytes and calls in work of one connection above which a server reads no further frames from it. */
  maxQueuedBytes: 262_144,
  maxCallsInWork: 1024,
  /** Bytes that a server decodes at a time, and the frames in them after which other connections have their turn. */
  maxPartBytes: 4096,
  maxFramesPerTurn: 64,
  /** Responses to no waiting call that a client accepts per second; at once, as many as calls may have timed out. */
  unexpectedResponsesPerS: 1000,
  /** Time for a peer to read what is unsent while its frames are not read. */
  unreadTimeoutMs: 15_000,
  /** Incomplete frames of all connections of a server; above it, the connection with the largest one is closed. */
  maxPartialBytes: 33_554_432,
} as const;
