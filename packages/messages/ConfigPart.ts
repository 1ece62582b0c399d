/**
 * Response to `fetchConfig`: one part of the encoded configuration. If the revision or digest differs from
 * that of the previous part, the fetch has to be restarted.
 */
export interface ConfigPart {
  readonly revision: number;
  /** SHA-256 of the complete encoding, in hex. */
  readonly digest: string;
  readonly totalBytes: number;
  readonly offset: number;
  readonly data: Uint8Array;
}
