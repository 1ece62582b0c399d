/** Asks a coordinator for a part of a document that is too large for one message. */
export interface DocumentPartRequest {
  readonly version: number;
  /** Id of a document that the receiver wants to be stored; null for the newest stored one. */
  readonly offerId: string | null;
  readonly offsetBytes: number;
}
