/** Asks the leader for the newest document. Coordinators of earlier releases send null, and take it in one message. */
export interface DocumentReadRequest {
  /** Size of the largest document that the sender takes in the response. */
  readonly maxInlineBytes: number;
}
