/** Ways to start an attempt, in the order of their cost. */
export enum ResumeMode {
  /** From the first token. */
  Fresh = "fresh",
  /** The same engine continues the stream that it still holds. */
  Engine = "engine",
  /** Another engine imports the KV cache of the stream from the engine that held it. */
  KvImport = "kv_import",
  /** The prompt and the sent tokens are computed again; gives the same answer only if greedy or seeded. */
  Replay = "replay",
}
