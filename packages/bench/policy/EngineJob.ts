/** One attempt, as submitted to an engine. */
export interface EngineJob {
  readonly attemptId: string;
  readonly priority: number;
  readonly promptTokenCount: number;
  readonly prefixHashes: readonly number[];
  /** Position of the first token to produce; above 0 for a resumed stream. */
  readonly firstPosition: number;
  /** Length of the complete response. */
  readonly outputTokenCount: number;
  readonly onAdmitted: (cachedBlockCount: number) => void;
  /** Called after each step with the position after the last token. */
  readonly onPosition: (position: number) => void;
  readonly onEnd: (end: "completed" | "overloaded" | "error") => void;
}
