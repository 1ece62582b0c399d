/** The newest document of the leader. */
export interface DocumentReadResponse {
  readonly version: number;
  /** Null if the document is too large for the response, so that it is fetched in parts. */
  readonly bytes: Uint8Array | null;
}
