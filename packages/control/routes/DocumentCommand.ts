/** Command of the `routes` log: a document in its encoded form. */
export interface DocumentCommand {
  readonly version: number;
  readonly bytes: Uint8Array;
}
