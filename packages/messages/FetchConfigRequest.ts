/** Body of `fetchConfig`: asks for a part of the encoded configuration. */
export interface FetchConfigRequest {
  /** Revision whose parts are being read; null for the first part. */
  readonly revision: number | null;
  readonly offset: number;
}
