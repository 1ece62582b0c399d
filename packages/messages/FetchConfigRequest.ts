/** Body of `fetchConfig`: requests one part of the encoded configuration. */
export interface FetchConfigRequest {
  /** Revision that is being fetched; null for the first part. */
  readonly revision: number | null;
  readonly offset: number;
}
