/** Faults that a test switches on, through `POST /standin/faults`. */
export interface EngineFaults {
  /** Computes nothing and answers nothing, while its connections stay open. */
  frozen: boolean;
  /** Cuts the connection of a stream after so many tokens; null for never. */
  killAtToken: number | null;
  /** Sends every token twice. */
  duplicateTokens: boolean;
  /** Sends, after so many tokens, an event of another request; null for never. */
  foreignAtToken: number | null;
  /** Swaps this token with the next one; null for never. */
  swapAtToken: number | null;
  /** Ends streams without the final event. */
  omitFinal: boolean;
  /** Ends a stream in good order, but without the final event, after so many tokens; null for never. */
  endAtToken: number | null;
  /** Answers with the id of another attempt, in the header and in every event. */
  foreignAnswer: boolean;
  /** Answers with the id of another attempt in the header only. */
  foreignHeader: boolean;
  /** Writes each event in pieces of so many bytes; 0 for whole events. */
  pieceBytes: number;
  /** Refuses to resume streams and to export KV cache. */
  refuseResume: boolean;
  /** Accepts requests on connections that are open now and never answers on them; new ones work. */
  silentConnections: boolean;
  /** Streams to which the fault of a kill or a swap is applied; counts down. */
  remainingCount: number;
}
