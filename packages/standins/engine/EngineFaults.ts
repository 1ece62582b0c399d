/** Faults that a test injects, directly or through `POST /standin/faults`. */
export interface EngineFaults {
  /** Computes nothing and sends no response, while its connections stay open. */
  frozen: boolean;
  /** Closes the connection of a stream after this many tokens; null for never. */
  killAtToken: number | null;
  /** Sends every token twice. */
  duplicateTokens: boolean;
  /** Sends an event of another request after this many tokens; null for never. */
  foreignAtToken: number | null;
  /** Swaps the token of this index with the next one; null for never. */
  swapAtToken: number | null;
  /** Ends streams cleanly, but without the final event. */
  omitFinal: boolean;
  /** Ends a stream cleanly, but without the final event, after this many tokens; null for never. */
  endAtToken: number | null;
  /** Responds with the id of another attempt, in the header and in every event. */
  foreignAnswer: boolean;
  /** Responds with the id of another attempt in the header only. */
  foreignHeader: boolean;
  /** Writes each event in pieces of this many bytes; 0 for whole events. */
  pieceBytes: number;
  /** Rejects requests to resume streams and to export KV caches. */
  refuseResume: boolean;
  /**
   * Accepts requests on the connections that are open now and never responds on them; new connections work.
   */
  silentConnections: boolean;
  /** Number of further streams to which `omitFinal` and the faults at a token index apply; counts down. */
  remainingCount: number;
}
