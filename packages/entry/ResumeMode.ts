/** How an attempt starts or resumes, in order of increasing cost. */
export enum ResumeMode {
  /** From the first token. */
  Fresh = "fresh",
  /** The same engine continues the stream that it still keeps. */
  Engine = "engine",
  /** Another engine imports the KV cache of the stream from the previous engine. */
  KvImport = "kv_import",
  /**
   * The prompt and the sent tokens are computed again. The response is the same only with greedy or seeded
   * decoding.
   */
  Replay = "replay",
}
