/** Answer to `fetchConfig`. Another revision or digest than before means that the fetch has to start again. */
export interface ConfigPart {
  readonly revision: number;
  /** SHA-256 of the whole encoding, in hex. */
  readonly digest: string;
  readonly totalBytes: number;
  readonly offset: number;
  readonly data: Uint8Array;
}
