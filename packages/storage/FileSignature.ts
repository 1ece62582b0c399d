/** What tells whether a file of records was written to: each record changes its size, and a replaced file starts with another checksum. */
export interface FileSignature {
  readonly sizeBytes: number;
  /** Length and checksum of the first record, in hexadecimal digits. */
  readonly firstRecord: string;
}
