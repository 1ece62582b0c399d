/** A document that the leader is asked to store, and that it fetches in parts from the sender. */
export interface OfferedDocument {
  readonly version: number;
  readonly offerId: string;
  readonly sizeBytes: number;
  /** SHA-256, by which the same document is recognized when it is sent again. */
  readonly digest: string;
  /** Frame address of the sender. */
  readonly address: string;
}
