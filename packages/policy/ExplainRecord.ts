/** Why a request was sent where it was, or refused. */
export interface ExplainRecord {
  readonly atMs: number;
  readonly requestId: string;
  /** Dispatch, refusal, queueing or cancellation, with its reason. */
  readonly decision: string;
  readonly target: string | null;
  readonly predictedWaitMs: number;
  /** Best candidates first; parts in milliseconds. */
  readonly candidates: readonly {
    readonly target: string;
    readonly scoreMs: number;
    readonly parts: Readonly<Record<string, number>>;
  }[];
}
