/** Part of a document in its encoded form. */
export interface DocumentPart {
  /** Size of the whole document. */
  readonly totalBytes: number;
  readonly bytes: Uint8Array;
}
