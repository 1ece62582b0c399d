/** Headers that request an engine to continue a stream. It responds with 409 when it cannot. */
export const resumeHeaderNames = {
  /** Attempt whose stream is to be continued. */
  attempt: "clementinemux-resume-attempt",
  /** Index of the first requested token. */
  fromToken: "clementinemux-resume-from",
  /** `host:port` of the agent whose engine exports the KV cache of the stream. */
  kvSource: "clementinemux-kv-source",
  /** Stamp to present to that agent. */
  kvStamp: "clementinemux-kv-stamp",
} as const;
