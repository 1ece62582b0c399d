/** A document as it is stored and sent between processes. */
export interface StoredDocument {
  readonly version: number;
  readonly bytes: Uint8Array;
}
