/** A decision about a request, with the scores that led to it. */
export interface ExplainRecord {
  readonly atMs: number;
  readonly requestId: string;
  /** `dispatch`, `cancel` or `refuse`, followed by a colon and the reason. */
  readonly decision: string;
  readonly target: string | null;
  readonly predictedWaitMs: number;
  /** Best candidates first. The parts add up to the score, in milliseconds. */
  readonly candidates: readonly {
    readonly target: string;
    readonly scoreMs: number;
    readonly parts: Readonly<Record<string, number>>;
  }[];
}
